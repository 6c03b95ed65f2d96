#ifndef AGATELEDGE_ISSUE_ORDERS_HPP
#define AGATELEDGE_ISSUE_ORDERS_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

struct order_state;
struct world;

/// Advances the orders of the data centre whose lease this daemon holds. Each
/// order is recorded, its engine is drained, and the order is sent repeatedly
/// until a report of the engine resolves it. A new holder of the lease first
/// completes the orders that its predecessor recorded. Nothing is sent without
/// authority.
void issue_orders(world &w);

/// @return true when the engine of `state` has no open work, or its drain has
///         exceeded the time limit
bool is_drained(world const &w, order_state const &state);

/// Recomputes `engine_state::changing` from the orders of this daemon and the
/// notices of other daemons.
void refresh_changing(world &w, std::string const &engine);

/// Time within which other daemons have received the notice of a change.
inline constexpr duration change_notice_delay = seconds(1);

/// Age from which a notice of a change is neither forwarded nor accepted.
inline constexpr duration change_notice_lifetime = seconds(5);

} // namespace agateledge

#endif
