#include "share_requests.hpp"

#include "account_shares.hpp"
#include "account_state.hpp"
#include "proxy_lifecycle.hpp"
#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

namespace agateledge
{

namespace
{

/// Interval at which the shares are computed again, short beside the half-life
/// of the work that they follow.
constexpr duration share_interval = milliseconds(100);

/// Half-life of the scarcity after a request that could not be served in time,
/// and the scarcity below which there is none: refusals end 2 s after it.
constexpr double scarcity_half_life_s = 0.5;
constexpr double min_scarcity = 1.0 / 16;

/// A request that has been held back for this part of its target waits.
constexpr int waiting_part_of_target = 4;

/// Maximum number of refused requests that are recognised when they come again.
constexpr std::size_t max_refused = 4096;

/// Bytes of a body by which a request without a prompt is recognised.
constexpr std::size_t fingerprint_bytes = 4096;

bool has_accounts(world const &w)
{
    return w.proxy.routing->accounts && w.proxy.accounts;
}

service_shares &shares_of(world &w, std::string const &service)
{
    auto &state = *w.proxy.accounts;
    auto const key = account_load_key(service);
    auto &shares = state.shares[key];
    if (w.now < shares.next_update)
    {
        return shares;
    }
    shares.next_update = w.now + share_interval;
    state.usage.remove_idle(w.now);
    auto loads = state.usage.loads(w.now);
    std::ranges::copy(state.remote, std::back_inserter(loads));
    std::erase_if(loads, [key](account_load const &load)
                  { return load.service != key; });
    shares.loads.clear();
    std::vector<account_demand> demands;
    for (auto const &load : loads)
    {
        auto &item = shares.loads[load.account];
        item.work += load.work;
        item.demand += load.demand;
        item.accounts = std::max(item.accounts, load.accounts);
    }
    std::ranges::transform(shares.loads, std::back_inserter(demands),
                           [](auto const &item)
                           {
                               auto const &load = item.second;
                               return account_demand{
                                   load.work, load.demand,
                                   static_cast<int>(load.accounts)};
                           });
    shares.level = fair_level(std::move(demands));
    return shares;
}

account_load load_of(service_shares const &shares, std::uint64_t account)
{
    auto const found = shares.loads.find(account);
    return found == shares.loads.end() ? account_load() : found->second;
}

/// @return scarcity for an account: how recently a request of another account,
///         of no lower priority, could not be served in time
double scarcity_for(service_shares const &shares, std::uint64_t account,
                    int priority, instant now)
{
    auto const found =
        std::ranges::find_if(shares.unserved,
                             [account, priority](unserved_request const &item)
                             {
                                 return item.account != 0 &&
                                        item.account != account &&
                                        item.priority <= priority;
                             });
    if (found == shares.unserved.end())
    {
        return 0;
    }
    auto const scarcity =
        std::exp2(-to_seconds(now - found->at) / scarcity_half_life_s);
    return scarcity < min_scarcity ? 0 : scarcity;
}

/// @return what a caller sends again unchanged, except for the attempt id
std::uint64_t fingerprint_of(proxy_request_state const &request)
{
    auto const &content = *request.content;
    if (content.prompt && !content.prompt->parts.empty())
    {
        return content.prompt->parts.back().id;
    }
    auto const size = std::min(content.body->size(), fingerprint_bytes);
    auto const seed = XXH3_64bits(content.target.data(), content.target.size());
    return XXH3_64bits_withSeed(content.body->data(), size, seed);
}

account_usage::activity &activity_of(world &w,
                                     proxy_request_state const &request)
{
    return w.proxy.accounts->usage.at(request.service, request.account);
}

void remember_refusal(world &w, proxy_request_state const &request,
                      instant not_before)
{
    auto &refused = w.proxy.accounts->refused;
    if (refused.size() >= max_refused)
    {
        std::erase_if(refused,
                      [&w](auto const &item) { return item.second <= w.now; });
    }
    if (refused.size() < max_refused)
    {
        refused.insert_or_assign(fingerprint_of(request), not_before);
    }
}

/// Refuses a request with a Retry-After time that grows with the excess of its
/// account.
void refuse_for_share(world &w, proxy_request_state const &request,
                      double demand, double level)
{
    auto &activity = activity_of(w, request);
    auto const refused = activity.refused.at(w.now);
    auto const repeats =
        refused > 0 ? activity.repeated.at(w.now) / refused : 0.0;
    activity.refused.add(1, w.now);
    auto const retry_after =
        spread_retry_after(w, share_retry_after(demand, level, repeats));
    remember_refusal(w, request, w.now + retry_after);
    ++w.proxy.accounts->counters[request.account].refused_shares;
    refuse_proxied_request(w, request.number, result_code::caller_limit,
                           "the account takes more than its share while "
                           "requests of other accounts wait",
                           retry_after);
}

bool was_tried(proxy_request_state const &request)
{
    return request.sends > 0 || request.not_before != instant{};
}

double queued_work(proxy_request_state const &request)
{
    if (!request.content->prompt)
    {
        return 1;
    }
    return request.waiting_tokens > 0 ? request.waiting_tokens
                                      : request.content->prompt->prompt_tokens;
}

} // namespace

void record_account_request(world &w, proxy_request_state const &request)
{
    if (!has_accounts(w))
    {
        return;
    }
    ++w.proxy.accounts->counters[request.account].requests;
    auto &activity = activity_of(w, request);
    activity.requests.add(1, w.now);
    auto &refused = w.proxy.accounts->refused;
    if (refused.empty())
    {
        return;
    }
    auto const found = refused.find(fingerprint_of(request));
    if (found == refused.end())
    {
        return;
    }
    if (w.now < found->second)
    {
        activity.repeated.add(1, w.now);
    }
    refused.erase(found);
}

void record_account_work(world &w, proxy_request_state const &request,
                         int unread_tokens)
{
    if (!has_accounts(w))
    {
        return;
    }
    auto &activity = activity_of(w, request);
    activity.work.add(request.content->prompt ? unread_tokens : 1, w.now);
    if (request.sends == 0)
    {
        activity.sent.add(1, w.now);
    }
}

void record_unserved_request(world &w, proxy_request_state const &request)
{
    if (!has_accounts(w))
    {
        return;
    }
    auto &shares = shares_of(w, request.service);
    auto const account = account_load_key(request.account);
    if (load_of(shares, account).demand > shares.level)
    {
        return;
    }
    auto &[newest, other] = shares.unserved;
    if (newest.account != account)
    {
        other = newest;
    }
    newest = {account, request.priority, w.now};
}

void record_waiting_request(world &w, proxy_request_state const &request)
{
    if (w.now - request.arrived_at >=
        request.route->target_latency / waiting_part_of_target)
    {
        record_unserved_request(w, request);
    }
}

bool refuse_over_share(world &w, proxy_request_state const &request)
{
    if (!has_accounts(w) || was_tried(request))
    {
        return false;
    }
    auto const &shares = shares_of(w, request.service);
    auto const account = account_load_key(request.account);
    auto const scarcity =
        scarcity_for(shares, account, request.priority, w.now);
    auto const demand = load_of(shares, account).demand;
    auto const admitted = admitted_share(demand, shares.level, scarcity);
    if (admitted >= 1 || w.random.uniform() < admitted)
    {
        return false;
    }
    refuse_for_share(w, request, demand, shares.level);
    return true;
}

bool refuse_late_over_share(world &w, proxy_request_state const &request)
{
    if (!has_accounts(w) || request.runs > 0)
    {
        return false;
    }
    auto const &shares = shares_of(w, request.service);
    auto const demand =
        load_of(shares, account_load_key(request.account)).demand;
    if (demand <= shares.level)
    {
        return false;
    }
    refuse_for_share(w, request, demand, shares.level);
    return true;
}

std::vector<request_number>
order_waiting_requests(world &w, std::vector<request_number> waiting)
{
    auto &requests = w.proxy.requests;
    if (!has_accounts(w))
    {
        std::ranges::stable_sort(waiting, {},
                                 [&requests](request_number number)
                                 { return requests.find(number)->priority; });
        return waiting;
    }
    std::vector<waiting_request> items;
    items.reserve(waiting.size());
    for (auto const number : waiting)
    {
        auto const &request = *requests.find(number);
        auto const service = account_load_key(request.service);
        auto const account = account_load_key(request.account);
        waiting_request item;
        item.number = number;
        item.account = service ^ account;
        item.priority = request.priority;
        item.in_time =
            w.now <= request.arrived_at + request.route->target_latency;
        item.work = queued_work(request);
        item.account_work =
            load_of(shares_of(w, request.service), account).work;
        items.push_back(item);
    }
    return fair_order(std::move(items));
}

} // namespace agateledge
