#ifndef AGATELEDGE_TICK_RELAYS_HPP
#define AGATELEDGE_TICK_RELAYS_HPP

namespace agateledge
{

struct world;

/// Runs the systems of the requests that are passed on unchanged.
///
/// @param w a daemon behind the platform's balancer
void tick_relays(world &w);

} // namespace agateledge

#endif
