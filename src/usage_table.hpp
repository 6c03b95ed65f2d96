#ifndef AGATELEDGE_USAGE_TABLE_HPP
#define AGATELEDGE_USAGE_TABLE_HPP

namespace agateledge
{

/// Use and waste that has not been flushed to the table service.
class usage_table
{
};

} // namespace agateledge

#endif
