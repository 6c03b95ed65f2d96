#ifndef AGATELEDGE_ACCOUNT_STATE_HPP
#define AGATELEDGE_ACCOUNT_STATE_HPP

#include "account_directory.hpp"
#include "account_load_report.hpp"
#include "account_usage.hpp"
#include "time.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Request of an account within its share that could not be served in time.
struct unserved_request
{
    std::uint64_t account = 0;
    int priority = 0;
    instant at = instant::min();
};

/// Shares of the accounts of a service.
struct service_shares
{
    /// Result of `fair_level`, and work and demand by account in all daemons.
    double level = std::numeric_limits<double>::infinity();
    std::unordered_map<std::uint64_t, account_load> loads;
    instant next_update = instant::min();
    /// Newest unserved request, and the newest one of another account.
    std::array<unserved_request, 2> unserved;
};

/// Report of another daemon.
struct received_account_loads
{
    std::shared_ptr<account_load_report const> report;
    instant received_at{};
};

/// Requests of an account since the start of the daemon.
struct account_counters
{
    std::uint64_t requests = 0;
    std::uint64_t refused_keys = 0;
    std::uint64_t refused_shares = 0;
};

/// Client accounts of the requests of this daemon, and their shares.
struct account_state
{
    /// Accounts by which the waiting requests were last authenticated.
    std::shared_ptr<account_directory const> authenticated_by;
    account_usage usage;
    std::map<std::uint64_t, service_shares> shares;
    /// Times from which refused requests may come again, by fingerprint.
    std::unordered_map<std::uint64_t, instant> refused;

    /// Newest report of each sender.
    std::map<std::string, received_account_loads> reports;
    std::uint64_t sequence = 0;
    instant next_report{};
    /// This daemon's loads in its last report; see `load_exchange_state`.
    std::vector<account_load> last_sent;
    /// Loads in the other daemons.
    std::vector<account_load> remote;

    std::map<std::string, account_counters> counters;
};

} // namespace agateledge

#endif
