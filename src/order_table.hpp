#ifndef AGATELEDGE_ORDER_TABLE_HPP
#define AGATELEDGE_ORDER_TABLE_HPP

namespace agateledge
{

/// Orders to engines that are recorded and not yet resolved.
class order_table
{
};

} // namespace agateledge

#endif
