#include "activity_table.hpp"

#include <algorithm>
#include <tuple>

namespace agateledge
{

namespace
{

/// Minimum time over which a rate is computed. Snapshots are sent every 500 ms;
/// two that a delay brings close together would give an excessive rate.
constexpr duration min_rate_time = milliseconds(400);

std::map<std::string, service_activity> sums_of(usage_snapshot const &snapshot)
{
    std::map<std::string, service_activity> out;
    std::for_each(snapshot.services.begin(), snapshot.services.end(),
                  [&out](service_activity const &item)
                  { out[item.service] = item; });
    return out;
}

/// @return rise of a sum per second; sums never fall within an incarnation
double rate_of(std::uint64_t after, std::uint64_t before, double time_s)
{
    return after > before ? static_cast<double>(after - before) / time_s : 0;
}

} // namespace

void activity_table::record(usage_snapshot const &snapshot, instant now)
{
    auto &daemon = daemons_[snapshot.sender];
    if (std::tie(snapshot.incarnation, snapshot.sequence) <=
        std::tie(daemon.incarnation, daemon.sequence))
    {
        return;
    }
    bool const is_restarted = snapshot.incarnation != daemon.incarnation;
    daemon.incarnation = snapshot.incarnation;
    daemon.sequence = snapshot.sequence;
    daemon.heard_at = now;
    if (is_restarted)
    {
        daemon.sums = sums_of(snapshot);
        daemon.counted_at = now;
        daemon.has_rates = false;
        daemon.rates.clear();
        return;
    }
    auto const elapsed = now - daemon.counted_at;
    if (elapsed < min_rate_time)
    {
        return;
    }
    auto const time_s = to_seconds(elapsed);
    daemon.rates.clear();
    for (auto const &item : snapshot.services)
    {
        auto const &before = daemon.sums[item.service];
        daemon.rates[item.service] = {
            rate_of(item.requests, before.requests, time_s),
            rate_of(item.unread_tokens, before.unread_tokens, time_s),
            rate_of(item.late + item.refused, before.late + before.refused,
                    time_s)};
    }
    daemon.sums = sums_of(snapshot);
    daemon.counted_at = now;
    daemon.has_rates = true;
}

std::size_t activity_table::heard(instant now, duration max_age) const
{
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(),
                      [&](auto const &item) {
                          return item.second.has_rates &&
                                 now - item.second.heard_at <= max_age;
                      }));
}

activity_rates activity_table::total(std::string const &service,
                                     std::size_t fleet_size) const
{
    activity_rates out;
    std::size_t known = 0;
    for (auto const &[name, daemon] : daemons_)
    {
        known += daemon.has_rates ? 1 : 0;
        auto const found = daemon.rates.find(service);
        if (found != daemon.rates.end())
        {
            out.requests += found->second.requests;
            out.unread_tokens += found->second.unread_tokens;
            out.failing += found->second.failing;
        }
    }
    if (known == 0)
    {
        return out;
    }
    auto const factor = std::max(
        static_cast<double>(fleet_size) / static_cast<double>(known), 1.0);
    return {out.requests * factor, out.unread_tokens * factor,
            out.failing * factor};
}

} // namespace agateledge
