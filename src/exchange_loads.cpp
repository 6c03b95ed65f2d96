#include "exchange_loads.hpp"

#include "engine_speed.hpp"
#include "exchange_topology.hpp"
#include "fleet_interval.hpp"
#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Interval of the reports; grows with the fleet between these limits, which
/// bound the reports of all daemons to 400 a second. In an interval, daemons
/// send prompts to the same engine without knowing of each other, so it must be
/// short beside the targets of first events.
constexpr duration min_report_interval = milliseconds(30);
constexpr double max_daemons_at_min_interval = 12;
constexpr duration max_report_interval = milliseconds(250);

/// Age after which a report is ignored.
constexpr duration report_lifetime = seconds(1);

/// Weight of the speed observations below which an idle engine is omitted from
/// the reports.
constexpr double min_speed_weight = 0.05;

/// Maximum number of sums over the received reports in a report interval. The
/// cost of a sum grows with the fleet, as the interval does.
constexpr int max_sums_per_interval = 3;

using loads_by_engine = std::map<std::uint64_t, engine_load>;

duration report_interval(world const &w)
{
    return fleet_interval(w.proxy.effective_fleet_size(),
                          max_daemons_at_min_interval, min_report_interval,
                          max_report_interval);
}

std::uint32_t closed_ms_of(world const &w, instance_state const &instance)
{
    auto const left = std::max(instance.closed_until - w.now, duration(0));
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(left).count());
}

std::vector<engine_load> local_loads(world const &w)
{
    std::vector<engine_load> out;
    for (auto const &[id, instance] : w.proxy.instances.all())
    {
        // Only the assignment of roles needs the speeds of single engines.
        auto const speed = w.proxy.limits.duties.assigns_roles
                               ? instance.speed.at(w.now)
                               : speed_samples();
        bool const closed = instance.closed_until > w.now;
        if (!instance.open_calls.empty() || closed ||
            speed.weight > min_speed_weight)
        {
            out.push_back(
                {instance.load_key,
                 static_cast<std::uint32_t>(
                     std::max<std::int64_t>(instance.unread_tokens, 0)),
                 static_cast<std::uint32_t>(instance.open_calls.size()),
                 speed.weight, speed.log_sum, closed_ms_of(w, instance)});
        }
    }
    return out;
}

void add(loads_by_engine &sum, std::vector<engine_load> const &loads)
{
    for (auto const &load : loads)
    {
        auto &item = sum[load.engine];
        item.engine = load.engine;
        item.unread_tokens += load.unread_tokens;
        item.open_calls += load.open_calls;
        item.speed_weight += load.speed_weight;
        item.speed_log_sum += load.speed_log_sum;
        item.closed_ms = std::max(item.closed_ms, load.closed_ms);
    }
}

std::uint32_t saturating_difference(std::uint32_t total, std::uint32_t part)
{
    return total > part ? total - part : 0;
}

void subtract(loads_by_engine &sum, std::vector<engine_load> const &loads)
{
    for (auto const &load : loads)
    {
        auto const found = sum.find(load.engine);
        if (found != sum.end())
        {
            auto &item = found->second;
            item.unread_tokens =
                saturating_difference(item.unread_tokens, load.unread_tokens);
            item.open_calls =
                saturating_difference(item.open_calls, load.open_calls);
            auto const weight = item.speed_weight - load.speed_weight;
            item.speed_log_sum =
                weight > 0 ? item.speed_log_sum - load.speed_log_sum : 0;
            item.speed_weight = std::max(weight, 0.0);
        }
    }
}

/// @return sum of the received reports of the given scope. Of the reports that
///         hubs send, only the newest of each data centre is counted, so that a
///         change of the hub does not count its data centre twice.
loads_by_engine sum_of_reports(world const &w, load_scope scope)
{
    std::map<std::string, received_report const *> newest;
    for (auto const &[sender, received] : w.proxy.load.received_reports)
    {
        if (received.report.scope != scope)
        {
            continue;
        }
        auto const &key =
            scope == load_scope::daemon ? sender : received.report.data_centre;
        auto &place = newest[key];
        if (place == nullptr || place->received_at < received.received_at)
        {
            place = &received;
        }
    }
    loads_by_engine sum;
    for (auto const &[key, received] : newest)
    {
        add(sum, received->report.loads);
    }
    return sum;
}

std::vector<engine_load> to_list(loads_by_engine const &sum)
{
    std::vector<engine_load> out;
    std::ranges::transform(sum, std::back_inserter(out),
                           [](auto const &item) { return item.second; });
    return out;
}

/// @return load that all other daemons put on the engines, as far as it was
///         reported to this daemon
loads_by_engine remote_loads(world const &w)
{
    auto sum = sum_of_reports(w, load_scope::daemon);
    add(sum, to_list(sum_of_reports(w, load_scope::data_centre)));
    if (!sum.empty() || hub_of(w, w.identity.data_centre) == w.identity.name)
    {
        return sum;
    }
    sum = sum_of_reports(w, load_scope::fleet);
    subtract(sum, w.proxy.load.last_sent);
    return sum;
}

void accept_report(world &w, peer_load_report const &report)
{
    auto const peer = w.proxy.daemons.find(report.sender);
    bool const known = peer != w.proxy.daemons.end() &&
                       peer->second.data_centre == report.data_centre;
    if (!known)
    {
        ++w.proxy.metrics.load_reports["unknown_sender"];
        return;
    }
    auto &received = w.proxy.load.received_reports[report.sender];
    auto const order_of = [](peer_load_report const &item)
    { return std::pair(item.incarnation, item.sequence); };
    if (order_of(report) <= order_of(received.report))
    {
        ++w.proxy.metrics.load_reports["out_of_order"];
        return;
    }
    ++w.proxy.metrics.load_reports["accepted"];
    received = {report, w.now};
    w.proxy.load.changed = true;
}

void remove_expired_reports(world &w)
{
    auto &load = w.proxy.load;
    auto const dropped = std::erase_if(
        load.received_reports, [&w](auto const &item)
        { return w.now - item.second.received_at > report_lifetime; });
    load.changed |= dropped > 0;
}

void update_remote_loads(world &w)
{
    auto &load = w.proxy.load;
    if (!load.changed)
    {
        return;
    }
    if (load.next_sum > w.now)
    {
        wake_at(w, load.next_sum);
        return;
    }
    load.changed = false;
    load.next_sum = w.now + report_interval(w) / max_sums_per_interval;
    load.summed_at = w.now;
    load.report_delay =
        is_mesh(w) ? report_interval(w) / 2 : report_interval(w) * 3 / 2;
    auto const others = remote_loads(w);
    for (auto &[id, instance] : w.proxy.instances.all())
    {
        auto const found = others.find(instance.load_key);
        bool const known = found != others.end();
        instance.peer_unread_tokens = known ? found->second.unread_tokens : 0;
        instance.peer_open_calls = known ? found->second.open_calls : 0;
        if (known && found->second.speed_weight > 0)
        {
            instance.peer_speed = {found->second.speed_weight,
                                   found->second.speed_log_sum, w.now};
        }
        if (known && found->second.closed_ms > 0)
        {
            instance.peer_closed_until =
                w.now + milliseconds(found->second.closed_ms);
        }
        update_rank_speed(instance, w.now);
    }
}

void send_report(world &w, load_scope scope,
                 std::vector<std::string> const &names,
                 std::vector<engine_load> loads)
{
    peer_load_send out;
    out.to = addresses_of(w, names);
    if (out.to.empty())
    {
        return;
    }
    peer_load_report report;
    report.sender = w.identity.name;
    report.data_centre = w.identity.data_centre;
    report.incarnation = w.identity.incarnation.value();
    report.sequence = ++w.proxy.load.sequence;
    report.scope = scope;
    report.loads = std::move(loads);
    out.report = std::make_shared<peer_load_report const>(std::move(report));
    w.out.peer_load_reports.push_back(std::move(out));
}

void report_as_hub(world &w, std::vector<engine_load> const &local)
{
    auto centre_loads = sum_of_reports(w, load_scope::daemon);
    add(centre_loads, local);
    send_report(w, load_scope::data_centre, remote_hubs(w),
                to_list(centre_loads));
    auto fleet_loads = centre_loads;
    add(fleet_loads, to_list(sum_of_reports(w, load_scope::data_centre)));
    send_report(w, load_scope::fleet, local_peers(w), to_list(fleet_loads));
}

void send_due_report(world &w)
{
    auto &load = w.proxy.load;
    if (load.next_report > w.now)
    {
        wake_at(w, load.next_report);
        return;
    }
    load.next_report = w.now + report_interval(w);
    wake_at(w, load.next_report);
    load.last_sent = local_loads(w);
    if (is_mesh(w))
    {
        send_report(w, load_scope::daemon, all_peers(w), load.last_sent);
        return;
    }
    auto const hub = hub_of(w, w.identity.data_centre);
    if (hub == w.identity.name)
    {
        report_as_hub(w, load.last_sent);
        return;
    }
    send_report(w, load_scope::daemon, {hub}, load.last_sent);
}

} // namespace

std::uint64_t load_key_of(instance_definition const &instance)
{
    return XXH3_64bits_withSeed(
        instance.id.data(), instance.id.size(),
        static_cast<std::uint64_t>(instance.started_at_ms));
}

void exchange_loads(world &w)
{
    std::ranges::for_each(w.in.peer_load_reports,
                          [&w](peer_load_report const &report)
                          { accept_report(w, report); });
    remove_expired_reports(w);
    update_remote_loads(w);
    send_due_report(w);
}

} // namespace agateledge
