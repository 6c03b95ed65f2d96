#ifndef AGATELEDGE_QUERY_TABLE_HPP
#define AGATELEDGE_QUERY_TABLE_HPP

namespace agateledge
{

/// Calls of operators that wait for an answer.
class query_table
{
};

} // namespace agateledge

#endif
