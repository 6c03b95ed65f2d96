#ifndef AGATELEDGE_ACCOUNT_SHARES_HPP
#define AGATELEDGE_ACCOUNT_SHARES_HPP

#include "ids.hpp"
#include "time.hpp"

#include <cstdint>
#include <vector>

namespace agateledge
{

// Who goes first and who is refused when a service has less capacity than is
// requested. Work is counted in prompt tokens to prefill, or in requests of a
// service without model engines.

/// Recent work of some client accounts at one service.
struct account_demand
{
    /// Work that was sent to instances, of all these accounts.
    double work = 0;
    /// Work that was requested, including what was refused or waits.
    double demand = 0;
    /// Number of accounts.
    int accounts = 1;
};

/// Max-min fair share of one account: with as much work as is being done, each
/// account gets what it requests up to this level, and what an account leaves
/// is divided among the others.
///
/// @return the level; infinity while what is requested is also done
double fair_level(std::vector<account_demand> demands);

/// @param demand work that an account requests
/// @param level result of `fair_level`
/// @param scarcity 0 while no other account waits, up to 1
/// @return share of the account's requests that are admitted
double admitted_share(double demand, double level, double scarcity);

/// @param demand work that a refused account requests
/// @param level result of `fair_level`
/// @param early_repeats share of the account's refused requests that came
///        again before their time
/// @return maximum time after which the caller may try again
duration share_retry_after(double demand, double level, double early_repeats);

/// Waiting request, for the order of service.
struct waiting_request
{
    request_number number;
    /// Account and service of the request.
    std::uint64_t account = 0;
    int priority = 0;
    /// Its answer can still begin in time.
    bool in_time = true;
    double work = 1;
    /// Recent work of the account at the service, before its waiting requests.
    double account_work = 0;
};

/// Orders requests by priority, then by whether they can be in time, then by
/// fair queueing between accounts: each request is ranked by the account's
/// recent work and that of its own and its account's earlier requests.
///
/// @param waiting requests; those of one account in order of service
/// @return their numbers, first the one to be served first
std::vector<request_number> fair_order(std::vector<waiting_request> waiting);

} // namespace agateledge

#endif
