#ifndef AGATELEDGE_EXCHANGE_LOADS_HPP
#define AGATELEDGE_EXCHANGE_LOADS_HPP

#include <cstdint>

namespace agateledge
{

struct instance_definition;
struct world;

/// Tells the other daemons what this one has given to each engine, and sums up
/// what they have. Answers the load of a large fleet: each daemon's own calls
/// are a small part of an engine's load, and without those of the others, long
/// prompts queue at one engine while its neighbours are idle.
///
/// A small fleet sends its reports to all. In a larger one, each data centre
/// has a hub, chosen by rendezvous hashing over the live daemons: daemons
/// report to their hub, hubs exchange the sums of their data centres and return
/// the sum of the fleet. What a daemon sends and receives does not grow with
/// the number of daemons; a hub's part grows with those of its data centre. A
/// daemon that hears nothing places by its own calls.
void exchange_loads(world &w);

/// @return key of an engine in reports; a restarted engine has another one
std::uint64_t load_key_of(instance_definition const &instance);

} // namespace agateledge

#endif
