#ifndef AGATELEDGE_ACCOUNT_USAGE_HPP
#define AGATELEDGE_ACCOUNT_USAGE_HPP

#include "account_load_report.hpp"
#include "decaying_sum.hpp"
#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Requests and work of the client accounts in the last seconds, by service, as
/// this daemon has seen them.
class account_usage
{
public:
    /// Half-life of the sums: longer than the gaps between the requests of a
    /// small account, shorter than a burst.
    static constexpr double half_life_s = 2;

    /// Recent activity of an account at a service.
    struct activity
    {
        std::string account;
        /// Requests that were admitted, and those of them that were sent.
        decaying_sum requests{half_life_s};
        decaying_sum sent{half_life_s};
        /// Work that was sent.
        decaying_sum work{half_life_s};
        /// Requests that were refused because of the account's share, and those
        /// that came again before their Retry-After time.
        decaying_sum refused{half_life_s};
        decaying_sum repeated{half_life_s};
    };

    /// @return activity of the account, which is added if it is new
    activity &at(std::string const &service, std::string const &account);

    /// @return recent work of the account; 0 when it has none
    double work_of(std::uint64_t service, std::uint64_t account,
                   instant now) const;

    /// @return work and demand of all accounts, by service
    std::vector<account_load> loads(instant now) const;

    /// Removes the accounts without activity.
    void remove_idle(instant now);

    /// @return activities by key of the service and key of the account
    std::map<std::uint64_t, std::unordered_map<std::uint64_t, activity>> const &
    services() const
    {
        return services_;
    }

private:
    std::map<std::uint64_t, std::unordered_map<std::uint64_t, activity>>
        services_;
};

/// @return key of a service or an account in reports; never 0
std::uint64_t account_load_key(std::string_view name);

/// Sums up loads of the same account, and combines the loads of the accounts of
/// each service beyond the heaviest `max_reported_accounts` into one entry.
std::vector<account_load> combine_loads(std::vector<account_load> loads);

} // namespace agateledge

#endif
