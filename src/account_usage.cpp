#include "account_usage.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// Requests in the decayed sums below which an account counts as idle: half a
/// minute after its last request.
constexpr double idle_requests = 3e-5;

/// Requests in the decayed sums from which the mean work of an account's own
/// requests is used.
constexpr double min_requests_of_mean = 0.25;

constexpr std::size_t max_reported_services = 16;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Combines the loads of one service beyond the heaviest accounts.
///
/// @param loads loads of the service; the entry for other accounts, if any, is
///        kept as such
void combine_light(std::vector<account_load> &loads)
{
    // Entries that stand for several accounts come last.
    std::ranges::sort(loads, std::greater(),
                      [](account_load const &item)
                      { return std::pair(item.account != 0, item.demand); });
    if (loads.size() <= max_reported_accounts)
    {
        return;
    }
    account_load rest{loads.front().service, 0, 0, 0, 0};
    std::for_each(loads.begin() +
                      static_cast<std::ptrdiff_t>(max_reported_accounts),
                  loads.end(),
                  [&rest](account_load const &item)
                  {
                      rest.work += item.work;
                      rest.demand += item.demand;
                      rest.accounts += item.accounts;
                  });
    loads.resize(max_reported_accounts);
    loads.push_back(rest);
}

} // namespace

account_usage::activity &account_usage::at(std::string const &service,
                                           std::string const &account)
{
    auto &item =
        services_[account_load_key(service)][account_load_key(account)];
    item.account = account;
    return item;
}

double account_usage::work_of(std::uint64_t service, std::uint64_t account,
                              instant now) const
{
    auto const accounts = services_.find(service);
    if (accounts == services_.end())
    {
        return 0;
    }
    auto const found = accounts->second.find(account);
    return found == accounts->second.end() ? 0 : found->second.work.at(now);
}

std::vector<account_load> account_usage::loads(instant now) const
{
    std::vector<account_load> out;
    for (auto const &[service, accounts] : services_)
    {
        auto work = 0.0;
        auto sent = 0.0;
        for (auto const &[key, item] : accounts)
        {
            work += item.work.at(now);
            sent += item.sent.at(now);
        }
        for (auto const &[key, item] : accounts)
        {
            auto const own_sent = item.sent.at(now);
            auto const own_work = item.work.at(now);
            auto const mean = own_sent >= min_requests_of_mean
                                  ? own_work / own_sent
                                  : ratio(work, sent);
            auto const unsent = std::max(item.requests.at(now) - own_sent, 0.0);
            out.push_back(
                {service, key, own_work, own_work + unsent * mean, 1});
        }
    }
    return out;
}

void account_usage::remove_idle(instant now)
{
    for (auto &[service, accounts] : services_)
    {
        std::erase_if(accounts, [now](auto const &item)
                      { return item.second.requests.at(now) < idle_requests; });
    }
    std::erase_if(services_,
                  [](auto const &item) { return item.second.empty(); });
}

std::uint64_t account_load_key(std::string_view name)
{
    return std::max<std::uint64_t>(XXH3_64bits(name.data(), name.size()), 1);
}

std::vector<account_load> combine_loads(std::vector<account_load> loads)
{
    std::map<std::uint64_t, std::map<std::uint64_t, account_load>> services;
    for (auto const &load : loads)
    {
        auto &item = services[load.service][load.account];
        item.service = load.service;
        item.account = load.account;
        item.work += load.work;
        item.demand += load.demand;
        // Daemons mostly have the same other accounts.
        item.accounts = std::max(item.accounts, load.accounts);
    }
    loads.clear();
    for (auto const &[service, accounts] : services)
    {
        if (loads.size() >= max_reported_services * max_reported_accounts)
        {
            break;
        }
        std::vector<account_load> of_service;
        std::ranges::transform(accounts, std::back_inserter(of_service),
                               [](auto const &item) { return item.second; });
        combine_light(of_service);
        std::ranges::move(of_service, std::back_inserter(loads));
    }
    return loads;
}

} // namespace agateledge
