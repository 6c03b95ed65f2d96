#ifndef AGATELEDGE_USAGE_TABLE_HPP
#define AGATELEDGE_USAGE_TABLE_HPP

namespace agateledge
{

/// Placeholder for usage records that are not yet written to the table service.
class usage_table
{
};

} // namespace agateledge

#endif
