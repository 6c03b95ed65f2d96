#ifndef AGATELEDGE_TRACK_PEERS_HPP
#define AGATELEDGE_TRACK_PEERS_HPP

#include "heartbeat.hpp"
#include "time.hpp"

#include <cstdint>
#include <string>

namespace agateledge
{

struct world;

/// Maintains the table of peers: sends heartbeats to at most 8 of them per
/// round, within a byte budget, applies what peers report of their open work,
/// of engines being changed and of demand, and updates the condition of each
/// peer. Also marks engines and endpoints whose hosts the platform lists as
/// leaving.
void track_peers(world &w);

/// Adds a peer that is listed in the settings.
///
/// @param name its name; this daemon's own name is ignored
/// @param address IP address and port of its listener for peers
void add_peer(world &w, std::string const &name, std::string const &address,
              std::string const &data_centre);

/// Builds a heartbeat of this daemon, either to send to a peer or to answer a
/// peer's heartbeat. Each has a new sequence number.
///
/// @param now current time, which may be later than that of the last tick
/// @param answers sequence number of the heartbeat that is answered; 0 for none
heartbeat make_heartbeat(world &w, instant now, std::uint64_t answers = 0);

/// @return number of live daemons, including this one
int live_daemons(world const &w);

} // namespace agateledge

#endif
