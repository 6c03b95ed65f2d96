#ifndef AGATELEDGE_COUNTERS_HPP
#define AGATELEDGE_COUNTERS_HPP

#include <compare>
#include <cstdint>

namespace agateledge
{

/// Totals since the start of the daemon, reported as metrics.
struct counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answered_in_time = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    /// Streams whose callers were asked to resume at another daemon.
    std::uint64_t handed_over = 0;
    std::uint64_t retries = 0;
    /// Late or repeated events of engines and endpoints that were ignored.
    std::uint64_t events_dropped = 0;
    std::uint64_t orders_sent = 0;
    std::uint64_t role_changes = 0;

    auto operator<=>(counters const &) const = default;
};

} // namespace agateledge

#endif
