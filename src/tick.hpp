#ifndef AGATELEDGE_TICK_HPP
#define AGATELEDGE_TICK_HPP

#include "time.hpp"

namespace agateledge
{

struct world;

/// Runs all systems once on the input in `world::in` and clears it. The output
/// is in `world::out`; the caller executes it and clears it. The caller ticks
/// again when there is new input, and at `world::next_wake` at the latest.
///
/// @param w the daemon
/// @param now time of the daemon's clock; must not decrease
void tick(world &w, instant now);

} // namespace agateledge

#endif
