#ifndef AGATELEDGE_ORDER_TARGETS_HPP
#define AGATELEDGE_ORDER_TARGETS_HPP

namespace agateledge
{

struct engine_order;
struct load_report;

/// @return true when the engine already is as `order` would make it; an adapter
///         is never reported, so that an order for one is always needed
bool meets_target(load_report const &report, engine_order const &order);

} // namespace agateledge

#endif
