#ifndef AGATELEDGE_TICK_HPP
#define AGATELEDGE_TICK_HPP

#include "time.hpp"

namespace agateledge
{

struct world;

/// Runs the systems once over the input in `world::in`, which is empty
/// afterwards. The output is in `world::out`; the caller carries it out and
/// clears it. The caller ticks again when there is new input, and at
/// `world::next_wake` at the latest.
///
/// @param w the daemon
/// @param now time of the daemon's clock; never goes back
void tick(world &w, instant now);

} // namespace agateledge

#endif
