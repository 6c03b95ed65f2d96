#include "account_metrics_text.hpp"

#include "account_state.hpp"
#include "world.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

constexpr std::size_t max_named_accounts = 100;

/// Values of one account, or of all accounts that are not named.
struct account_values
{
    account_counters counters;
    std::uint64_t waiting = 0;
    /// Part of the work of this daemon in the last seconds, by service.
    std::map<std::uint64_t, double> shares;
};

/// @return `text` as the value of a label
std::string label_text(std::string_view text)
{
    std::string out;
    for (char const c : text)
    {
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

/// @return name by which each account is shown: its own or "other accounts"
std::map<std::string, std::string> names_of(account_state const &state)
{
    std::vector<std::pair<std::uint64_t, std::string>> by_requests;
    by_requests.reserve(state.counters.size());
    for (auto const &[account, counters] : state.counters)
    {
        by_requests.emplace_back(counters.requests, account);
    }
    std::ranges::sort(by_requests, std::greater());
    std::map<std::string, std::string> names;
    for (std::size_t i = 0; i < by_requests.size(); ++i)
    {
        auto const &account = by_requests.at(i).second;
        names.emplace(account, i < max_named_accounts ? label_text(account)
                                                      : "other accounts");
    }
    return names;
}

std::map<std::string, account_values> values_of(world const &w)
{
    auto const &state = *w.proxy.accounts;
    auto const names = names_of(state);
    std::map<std::string, account_values> out;
    for (auto const &[account, counters] : state.counters)
    {
        auto &sum = out[names.at(account)].counters;
        sum.requests += counters.requests;
        sum.refused_keys += counters.refused_keys;
        sum.refused_shares += counters.refused_shares;
    }
    for (auto const &[number, request] : w.proxy.requests.all())
    {
        auto const name = names.find(request.account);
        if (!request.attempt && name != names.end())
        {
            ++out[name->second].waiting;
        }
    }
    for (auto const &[service, accounts] : state.usage.services())
    {
        auto total = 0.0;
        for (auto const &[key, item] : accounts)
        {
            total += item.work.at(w.now);
        }
        for (auto const &[key, item] : accounts)
        {
            auto const name = names.find(item.account);
            if (total > 0 && name != names.end())
            {
                out[name->second].shares[service] +=
                    item.work.at(w.now) / total;
            }
        }
    }
    return out;
}

} // namespace

void write_account_metrics(std::ostream &out, world const &w,
                           char const *prefix)
{
    if (!w.proxy.accounts || w.proxy.accounts->counters.empty())
    {
        return;
    }
    std::map<std::uint64_t, std::string> services;
    for (auto const &service : w.proxy.routing->services)
    {
        services.emplace(account_load_key(service.name),
                         label_text(service.name));
    }
    auto const values = values_of(w);
    out << "# TYPE " << prefix << "account_requests_total counter\n";
    for (auto const &[name, item] : values)
    {
        out << prefix << "account_requests_total{account=\"" << name << "\"} "
            << item.counters.requests << "\n";
    }
    out << "# TYPE " << prefix << "account_refusals_total counter\n";
    for (auto const &[name, item] : values)
    {
        out << prefix << "account_refusals_total{account=\"" << name
            << "\",cause=\"key\"} " << item.counters.refused_keys << "\n"
            << prefix << "account_refusals_total{account=\"" << name
            << "\",cause=\"share\"} " << item.counters.refused_shares << "\n";
    }
    out << "# TYPE " << prefix << "account_waiting gauge\n";
    for (auto const &[name, item] : values)
    {
        out << prefix << "account_waiting{account=\"" << name << "\"} "
            << item.waiting << "\n";
    }
    out << "# TYPE " << prefix << "account_share gauge\n";
    for (auto const &[name, item] : values)
    {
        for (auto const &[service, share] : item.shares)
        {
            auto const found = services.find(service);
            out << prefix << "account_share{account=\"" << name
                << "\",service=\""
                << (found == services.end() ? std::string() : found->second)
                << "\"} " << share << "\n";
        }
    }
}

} // namespace agateledge
