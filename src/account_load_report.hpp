#ifndef AGATELEDGE_ACCOUNT_LOAD_REPORT_HPP
#define AGATELEDGE_ACCOUNT_LOAD_REPORT_HPP

#include "peer_load_report.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Accounts of a service that a report names; the others are one entry.
constexpr std::size_t max_reported_accounts = 100;

/// Recent work of a client account at a service; see `account_demand`.
struct account_load
{
    /// See `account_load_key`.
    std::uint64_t service = 0;
    /// 0 for the accounts that a report does not name.
    std::uint64_t account = 0;
    double work = 0;
    double demand = 0;
    /// Number of accounts.
    std::uint32_t accounts = 1;

    auto operator<=>(account_load const &) const = default;
};

/// Report of the work of client accounts, which daemons exchange in datagrams.
/// A lost one is replaced by the next.
struct account_load_report
{
    std::string sender;
    std::string data_centre;
    /// Incarnation of the sender, and sequence number of the report within it.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    load_scope scope = load_scope::daemon;
    std::vector<account_load> loads;

    auto operator<=>(account_load_report const &) const = default;
};

} // namespace agateledge

#endif
