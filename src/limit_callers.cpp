#include "limit_callers.hpp"

#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr duration measuring_interval = seconds(1);
/// Weight of the last interval in the mean rate of a caller.
constexpr double demand_weight = 0.3;
/// Demand below which a caller counts as idle and is removed from the table.
constexpr double idle_requests_per_second = 0.01;
/// Fraction of an equal share that is granted whatever the peers report, so
/// that a caller that moves to this daemon is not rejected outright.
constexpr double min_equal_fraction = 0.25;

std::string key_of(std::string const &caller, std::string const &class_name)
{
    return caller + "\n" + class_name;
}

int live_daemons(world const &w)
{
    return w.hooks.live_daemons > 0 ? w.hooks.live_daemons
                                    : std::max(1, w.peers.live_daemons);
}

std::unordered_map<std::string, double> peer_demand(world const &w)
{
    std::unordered_map<std::string, double> out;
    for (auto const &[name, peer] : w.peers.states)
    {
        if (peer.condition != peer_condition::live)
        {
            continue;
        }
        for (auto const &item : peer.demand)
        {
            out[key_of(item.caller, item.class_name)] +=
                item.requests_per_second;
        }
    }
    return out;
}

double share_of(double local, double reported, int daemons)
{
    auto const equal = 1.0 / daemons;
    if (reported <= 0)
    {
        return equal;
    }
    auto const demanded = local / (local + reported);
    return std::max(demanded, min_equal_fraction * equal);
}

void publish_demand(world &w)
{
    w.peers.local_demand.clear();
    for (auto const &[key, rate] : w.callers.rates)
    {
        w.peers.local_demand.push_back(
            {rate.caller, rate.class_name, rate.requests_per_second});
    }
}

void refill(caller_rate &rate, double limit, double burst, instant now)
{
    auto const capacity = std::max(1.0, burst * rate.share);
    if (rate.tokens < 0)
    {
        rate.tokens = capacity;
    }
    else
    {
        auto const passed = to_seconds(now - rate.refilled_at);
        rate.tokens =
            std::min(capacity, rate.tokens + passed * limit * rate.share);
    }
    rate.refilled_at = now;
}

} // namespace

void limit_callers(world &w)
{
    auto const passed = w.now - w.callers.counted_at;
    if (passed < measuring_interval)
    {
        return;
    }
    w.callers.counted_at = w.now;
    auto const reported = peer_demand(w);
    for (auto &[key, rate] : w.callers.rates)
    {
        auto const measured = rate.requests / to_seconds(passed);
        rate.requests = 0;
        rate.requests_per_second +=
            demand_weight * (measured - rate.requests_per_second);
        auto const found = reported.find(key);
        rate.share = share_of(rate.requests_per_second,
                              found == reported.end() ? 0 : found->second,
                              live_daemons(w));
    }
    std::erase_if(w.callers.rates,
                  [&w](auto const &item)
                  {
                      return item.second.requests_per_second <
                                 idle_requests_per_second &&
                             w.now - item.second.refilled_at > seconds(10);
                  });
    publish_demand(w);
}

bool within_limit(world &w, request_arrival const &arrival,
                  request_class const &kind)
{
    auto const caller = std::ranges::find(w.config.callers, arrival.caller,
                                          &caller_definition::name);
    if (caller == w.config.callers.end() || caller->requests_per_second <= 0)
    {
        return true;
    }
    auto const [place, added] =
        w.callers.rates.try_emplace(key_of(arrival.caller, kind.name));
    auto &rate = place->second;
    if (added)
    {
        rate.caller = arrival.caller;
        rate.class_name = kind.name;
        rate.share = 1.0 / live_daemons(w);
    }
    ++rate.requests;
    refill(rate, caller->requests_per_second, caller->burst, w.now);
    if (rate.tokens < 1)
    {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

} // namespace agateledge
