#ifndef AGATELEDGE_USAGE_SNAPSHOT_HPP
#define AGATELEDGE_USAGE_SNAPSHOT_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Requests of one account that began to run in one window at one daemon.
struct account_starts
{
    std::int64_t window = 0;
    std::string account;
    std::uint32_t requests = 0;

    auto operator<=>(account_starts const &) const = default;
};

/// What one daemon has asked of a service since its start.
struct service_activity
{
    std::string service;
    std::uint64_t requests = 0;
    /// Prompt tokens that engines had to prefill for them.
    std::uint64_t unread_tokens = 0;
    /// Requests that were answered after their target.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;

    auto operator<=>(service_activity const &) const = default;
};

/// Lease of a duty, as its holder announces it.
struct lease_notice
{
    /// Value of the duty.
    std::uint8_t item = 0;
    /// Empty after a release.
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing = 0;
    /// Version of the lease's row, and era of the store.
    std::uint64_t version = 0;
    std::uint64_t era = 0;
    /// Version of the row with the highest fencing token.
    std::uint64_t fence_version = 0;

    auto operator<=>(lease_notice const &) const = default;
};

/// Content that was decided on for the report of a window.
struct closed_window
{
    std::int64_t window = 0;
    std::uint64_t hash = 0;

    auto operator<=>(closed_window const &) const = default;
};

/// Report of a daemon to the holders of the duties, in datagrams. Each report
/// replaces the sender's earlier ones, so a lost datagram is not repeated.
struct usage_snapshot
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Counts of the windows that are not reported yet.
    std::vector<account_starts> starts;
    std::vector<service_activity> services;
    /// Window in which the sender counts now; 0 in a report of leases. Its
    /// counts of the earlier windows are complete.
    std::int64_t open_window = 0;
    /// Time since the Unix epoch: the sender's estimate from its own clock. In
    /// a report of the lease of the usage reports, the median over the fleet; 0
    /// in one of other leases.
    duration wall_time{};
    /// Leases of the sender. A report with leases has no counts and replaces
    /// only earlier reports with leases.
    std::vector<lease_notice> leases;
    /// Windows with final counts, as far as the sender knows; the newest ones.
    std::vector<struct closed_window> closed;

    auto operator<=>(usage_snapshot const &) const = default;
};

} // namespace agateledge

#endif
