#ifndef AGATELEDGE_ISSUE_ORDERS_HPP
#define AGATELEDGE_ISSUE_ORDERS_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

struct order_state;
struct world;

/// Advances the orders of the data centre whose lease this daemon holds: each
/// is recorded, its engine is drained, and it is sent and sent again until the
/// engine's report resolves it. A new holder first completes what its
/// predecessor recorded. Nothing is sent without authority.
void issue_orders(world &w);

/// @return true when the engine of `state` has no open work, or the drain has
///         lasted as long as it may
bool is_drained(world const &w, order_state const &state);

/// Recomputes `engine_state::changing` from the orders of this daemon and the
/// notices of others.
void refresh_changing(world &w, std::string const &engine);

/// Time within which other daemons have heard that an engine is changing.
inline constexpr duration change_notice_time = seconds(1);

/// Age at which a notice of a change is neither passed on nor believed.
inline constexpr duration change_notice_lifetime = seconds(5);

} // namespace agateledge

#endif
