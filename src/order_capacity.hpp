#ifndef AGATELEDGE_ORDER_CAPACITY_HPP
#define AGATELEDGE_ORDER_CAPACITY_HPP

#include "duty_authority.hpp"

#include <optional>

namespace agateledge
{

struct usage_snapshot;
struct world;

/// Orders engines as the load requires. Without authority it only follows the
/// load. Orders are written to the row `capacity` before they are sent.
///
/// @param w state of the daemon
/// @param authority authority over `duty::order_capacity` in this tick
void order_capacity(world &w, std::optional<duty_authority> const &authority);

/// Takes over the activity of a daemon. `order_capacity` calls this for the
/// snapshots of other daemons in the inbox; the pass that counts this daemon's
/// own requests calls it with each snapshot that it makes.
void record_service_activity(world &w, usage_snapshot const &snapshot);

} // namespace agateledge

#endif
