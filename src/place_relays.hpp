#ifndef AGATELEDGE_PLACE_RELAYS_HPP
#define AGATELEDGE_PLACE_RELAYS_HPP

namespace agateledge
{

struct world;

/// Sends waiting requests to the instances that are predicted to answer first,
/// the most urgent ones before others. A request that no instance can answer in
/// its time is refused at once as not run.
///
/// @param w the daemon
void place_relays(world &w);

} // namespace agateledge

#endif
