#ifndef AGATELEDGE_PEER_TABLE_HPP
#define AGATELEDGE_PEER_TABLE_HPP

#include "heartbeat.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

enum class peer_condition
{
    /// Heard from within the timeout.
    live,
    /// Not heard from, or its last call failed.
    suspect,
    /// Listed as leaving, or draining by its own word.
    leaving,
};

/// Another daemon of the deployment.
struct peer_state
{
    std::string name;
    std::string address;
    std::string data_centre;
    incarnation_number incarnation;
    /// Sequence of the last heartbeat of this incarnation.
    std::uint64_t sequence = 0;
    peer_condition condition = peer_condition::suspect;
    std::optional<instant> heard_at;
    std::optional<instant> called_at;
    /// Sequence of the heartbeat that was sent at `called_at`.
    std::uint64_t called_sequence = 0;
    /// True while the last call failed and nothing was heard since.
    bool failed = false;
    bool host_leaving = false;
    bool draining = false;
    /// True for a peer of the settings or of the platform's current list.
    bool listed = false;
    revision_number revision;
    /// Open work that the peer reported, for engines that this daemon knows.
    std::vector<engine_share> shares;
    std::vector<caller_demand> demand;
};

/// Other daemons of the deployment, by name.
class peer_table
{
public:
    std::map<std::string, peer_state> states;
    /// Demand that this daemon sees, sent with its heartbeats; the limits fill
    /// it.
    std::vector<caller_demand> own_demand;
    std::uint64_t last_sequence = 0;
    instant next_round{};
    /// Live daemons with this one.
    int live_daemons = 1;
};

} // namespace agateledge

#endif
