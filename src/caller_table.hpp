#ifndef AGATELEDGE_CALLER_TABLE_HPP
#define AGATELEDGE_CALLER_TABLE_HPP

namespace agateledge
{

/// Rates and limits by caller and class.
class caller_table
{
};

} // namespace agateledge

#endif
