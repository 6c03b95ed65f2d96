#ifndef AGATELEDGE_EXCHANGE_LOADS_HPP
#define AGATELEDGE_EXCHANGE_LOADS_HPP

#include <cstdint>

namespace agateledge
{

struct instance_definition;
struct world;

/// Reports the load that this daemon puts on each engine to the other daemons,
/// and sums up the reports that it receives. In a large fleet, the calls of one
/// daemon are a small part of an engine's load; if the calls of the others were
/// not known, long prompts would queue at one engine while others are idle.
///
/// In a small fleet, each daemon sends its reports to all others. In a larger
/// one, each data centre has a hub, chosen by rendezvous hashing over the live
/// daemons: daemons report to their hub, and hubs exchange the sums of their
/// data centres and send the sum of the fleet to the daemons of their data
/// centre. The traffic of a daemon does not grow with the number of daemons;
/// that of a hub grows with the number of daemons in its data centre. A daemon
/// that receives no reports places requests by its own calls only.
///
/// @param w the daemon
void exchange_loads(world &w);

/// @return key of an engine in load reports; changes when the engine restarts
std::uint64_t load_key_of(instance_definition const &instance);

} // namespace agateledge

#endif
