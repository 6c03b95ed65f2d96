#ifndef AGATELEDGE_USAGE_SNAPSHOT_HPP
#define AGATELEDGE_USAGE_SNAPSHOT_HPP

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

    auto operator<=>(usage_snapshot const &) const = default;
};

} // namespace agateledge

#endif
