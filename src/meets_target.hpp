#ifndef AGATELEDGE_MEETS_TARGET_HPP
#define AGATELEDGE_MEETS_TARGET_HPP

namespace agateledge
{

struct engine_order;
struct load_report;

/// @return true when the engine is already in the state that `order` asks for;
///         always false for an adapter, since engines do not report adapters
bool meets_target(load_report const &report, engine_order const &order);

} // namespace agateledge

#endif
