#ifndef AGATELEDGE_PEER_LOAD_REPORT_HPP
#define AGATELEDGE_PEER_LOAD_REPORT_HPP

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Load on one engine: calls that daemons have sent and that are unanswered.
struct engine_load
{
    /// Hash of the engine's id and start time; see `load_key_of`.
    std::uint64_t engine = 0;
    /// Prompt tokens of these calls whose prefill is still to come.
    std::uint32_t unread_tokens = 0;
    /// Number of these calls.
    std::uint32_t open_calls = 0;
    /// Sums of speed observations; see `speed_samples`.
    double speed_weight = 0;
    double speed_log_sum = 0;
    /// Time for which the engine takes no work, because its role is about to
    /// change.
    std::uint32_t closed_ms = 0;

    auto operator<=>(engine_load const &) const = default;
};

/// Daemons whose loads a report contains.
enum class load_scope : std::uint8_t
{
    /// The sender.
    daemon,
    /// All daemons in the sender's data centre.
    data_centre,
    /// All daemons.
    fleet,
};

/// Load report that daemons exchange in datagrams. Loads are soft state: a lost
/// datagram is not repeated, since the next report replaces it.
struct peer_load_report
{
    std::string sender;
    std::string data_centre;
    /// Incarnation of the sender, and sequence number of the report within it.
    /// Reports that arrive out of order are dropped.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    load_scope scope = load_scope::daemon;
    std::vector<engine_load> loads;

    auto operator<=>(peer_load_report const &) const = default;
};

/// Report to send, with its receivers.
struct peer_load_send
{
    /// IP addresses and ports of the receivers.
    std::vector<std::string> to;
    std::shared_ptr<peer_load_report const> report;
};

} // namespace agateledge

#endif
