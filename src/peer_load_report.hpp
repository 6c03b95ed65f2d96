#ifndef AGATELEDGE_PEER_LOAD_REPORT_HPP
#define AGATELEDGE_PEER_LOAD_REPORT_HPP

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

/// Work that daemons have given to one engine and that it has not answered.
struct engine_load
{
    /// Hash of the engine's id and start time; see `load_key_of`.
    std::uint64_t engine = 0;
    /// Prompt tokens that it has yet to read.
    std::uint32_t unread_tokens = 0;
    std::uint32_t open_calls = 0;

    auto operator<=>(engine_load const &) const = default;
};

/// Whose work a report sums up.
enum class load_scope : std::uint8_t
{
    /// The sender's own.
    daemon,
    /// That of the daemons in the sender's data centre.
    data_centre,
    /// That of all daemons.
    fleet,
};

/// Datagram between daemons. Loads are soft state: a lost report is replaced by
/// the next one.
struct peer_load_report
{
    std::string sender;
    std::string data_centre;
    /// Start of the sender, and number of the report since then; reports that
    /// arrive out of order are dropped.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    load_scope scope = load_scope::daemon;
    std::vector<engine_load> loads;

    auto operator<=>(peer_load_report const &) const = default;
};

/// Report to send.
struct peer_load_send
{
    /// IP addresses and ports.
    std::vector<std::string> to;
    std::shared_ptr<peer_load_report const> report;
};

} // namespace agateledge

#endif
