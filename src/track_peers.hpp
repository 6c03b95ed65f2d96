#ifndef AGATELEDGE_TRACK_PEERS_HPP
#define AGATELEDGE_TRACK_PEERS_HPP

#include "heartbeat.hpp"
#include "time.hpp"

#include <cstdint>
#include <string>

namespace agateledge
{

struct world;

/// Keeps the list of other daemons: sends heartbeats to at most 8 of them a
/// round, takes over what they report of open work, of engines being changed
/// and of demand, and marks those that are silent. Marks engines and endpoints
/// whose hosts the platform lists as leaving.
void track_peers(world &w);

/// Adds a peer of the settings.
///
/// @param name its name; this daemon's own name is ignored
/// @param address IP address and port of its listener for peers
void add_peer(world &w, std::string const &name, std::string const &address,
              std::string const &data_centre);

/// Builds the heartbeat that this daemon sends, and that it answers to a peer's
/// heartbeat with; each has a new sequence number.
///
/// @param now current time, which may be later than that of the last tick
/// @param answers sequence of the heartbeat that is answered; 0 for none
heartbeat own_heartbeat(world &w, instant now, std::uint64_t answers = 0);

/// @return the live daemons, this one included
int live_daemons(world const &w);

} // namespace agateledge

#endif
