#ifndef AGATELEDGE_PEER_TABLE_HPP
#define AGATELEDGE_PEER_TABLE_HPP

#include "heartbeat.hpp"
#include "ids.hpp"
#include "time.hpp"
#include "token_bucket.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Bytes per second for the heartbeats that one daemon sends and their answers.
/// A daemon also answers as many heartbeats of its peers, so that its total
/// heartbeat traffic is twice this. The budget for all control traffic is 8
/// KB/s.
inline constexpr double heartbeat_bytes_per_second = 1750;
inline constexpr double heartbeat_burst_bytes = 8000;

enum class peer_condition
{
    /// A heartbeat was received within the time-out.
    live,
    /// No heartbeat was received within the time-out, or the last call failed.
    suspect,
    /// Listed as leaving by the platform, or reported by itself as draining.
    leaving,
};

/// Another daemon of the deployment.
struct peer_state
{
    std::string name;
    std::string address;
    std::string data_centre;
    incarnation_number incarnation;
    /// Sequence number of the last heartbeat of this incarnation.
    std::uint64_t sequence = 0;
    peer_condition condition = peer_condition::suspect;
    std::optional<instant> last_heartbeat_at;
    std::optional<instant> called_at;
    /// Sequence number of the heartbeat that was sent at `called_at`.
    std::uint64_t called_sequence = 0;
    /// True when the last call failed and no heartbeat was received since.
    bool last_call_failed = false;
    bool host_leaving = false;
    bool draining = false;
    /// True for a peer in the settings or in the platform's current list.
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
    /// Demand at this daemon, sent with its heartbeats; set by `limit_callers`.
    std::vector<caller_demand> local_demand;
    std::uint64_t last_sequence = 0;
    instant next_round{};
    /// Byte budget of the calls to peers and their answers.
    token_bucket call_budget{heartbeat_bytes_per_second, heartbeat_burst_bytes};
    /// Bytes of the last call and its answer.
    double last_exchange_bytes = 1000;
    /// Live daemons, including this one.
    int live_daemons = 1;
};

} // namespace agateledge

#endif
