#include "count_usage.hpp"

#include "duty_state.hpp"
#include "exchange_topology.hpp"
#include "hold_duty_leases.hpp"
#include "log_proxied_request.hpp"
#include "usage_state.hpp"
#include "world.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <vector>

namespace agateledge
{

namespace
{

/// Interval of the snapshots; what a daemon counted since its last snapshot is
/// lost when it is killed.
constexpr duration snapshot_interval = milliseconds(500);

/// Daemons in rank order that receive snapshots beside the holders, so that a
/// successor knows the counts of the holder and of daemons that end with it.
constexpr std::size_t informed_successors = 2;

/// Maximum size of the counts in one datagram, below the limit of 64 KB for
/// UDP, and size of an entry beside the account's name.
constexpr std::size_t max_datagram_counts = 30'000;
constexpr std::size_t entry_overhead = 24;

/// Windows whose counts are kept while there is no holder: 20 minutes of 5 s
/// each.
constexpr std::size_t max_open_windows = 240;

/// Time after which the counts of a daemon that sends none are dropped;
/// exceeds the time in which their windows are reported.
constexpr duration snapshot_lifetime = minutes(3);

/// Time in which the largest offset is used.
constexpr duration offset_lifetime = seconds(5);

/// Differences to the time of the fleet up to this one are due to delays.
constexpr duration max_time_difference = milliseconds(150);

/// Time for which the announced time of the fleet is used.
constexpr duration fleet_time_lifetime = minutes(2);

/// Windows by which the clock of another daemon may be ahead.
constexpr std::int64_t max_window_lead = 2;

/// Windows whose hashes are kept; those of an outage of the platform's
/// interface of more than a minute.
constexpr std::size_t max_closed_hashes = 16;

usage_state *counting(world &w)
{
    return has_duties(w) && w.proxy.duties ? &usage_of(w) : nullptr;
}

bool is_plain(proxy_request_state const &request)
{
    return request.route && request.route->kind != route_kind::streaming;
}

std::optional<std::int64_t> window_now(world const &w)
{
    auto const time = wall_time(w);
    return time ? std::optional(window_at(w, *time)) : std::nullopt;
}

service_activity &activity_of(usage_state &usage, std::string const &service)
{
    auto &out = usage.activity[service];
    out.service = service;
    return out;
}

void take_sample(offset_sample &sample, duration offset, instant now)
{
    if (offset > sample.offset || now - sample.taken_at > offset_lifetime)
    {
        sample = {offset, now};
    }
}

/// Adds what has changed since `before` to the sums of the fleet.
void add_difference(duty_state &duties, activity_by_service const &before,
                    activity_by_service const &after)
{
    for (auto const &[name, item] : after)
    {
        auto const found = before.find(name);
        auto const base =
            found == before.end() ? service_activity{} : found->second;
        auto &sum = duties.fleet_activity[name];
        sum.service = name;
        sum.requests += item.requests - std::min(base.requests, item.requests);
        sum.unread_tokens += item.unread_tokens -
                             std::min(base.unread_tokens, item.unread_tokens);
        sum.late += item.late - std::min(base.late, item.late);
        sum.refused += item.refused - std::min(base.refused, item.refused);
    }
}

void accept_snapshot(world &w, usage_snapshot const &report)
{
    auto &duties = *w.proxy.duties;
    if (!w.proxy.daemons.contains(report.sender) ||
        report.sender == w.identity.name)
    {
        ++duties.snapshots["unknown_sender"];
        return;
    }
    auto &received = usage_of(w).received[{report.sender, report.incarnation}];
    if (report.sequence <= received.sequence)
    {
        ++duties.snapshots["out_of_order"];
        return;
    }
    ++duties.snapshots["accepted"];
    bool const first = received.sequence == 0;
    received.sequence = report.sequence;
    received.heard_at = w.now;
    received.open_window = std::max(received.open_window, report.open_window);
    for (auto const &item : report.closed)
    {
        received.closed_window = std::max(received.closed_window, item.window);
    }
    take_sample(received.time, report.wall_time - w.now.time_since_epoch(),
                w.now);
    for (auto const &item : report.starts)
    {
        if (item.window > duties.closed_window)
        {
            received.counts[item.window][item.account] = item.requests;
        }
    }
    if (report.services.empty())
    {
        return;
    }
    activity_by_service services;
    for (auto const &item : report.services)
    {
        services[item.service] = item;
    }
    if (!first)
    {
        add_difference(duties, received.services, services);
    }
    received.services = std::move(services);
}

/// @return false when a window is in the future: closing it would end the
///         reports of all windows before
bool is_plausible(world const &w, usage_snapshot const &report)
{
    auto const now = window_now(w);
    auto const is_possible = [&now](auto const &item)
    { return now && item.window <= *now + max_window_lead; };
    return std::ranges::all_of(report.closed, is_possible) &&
           std::ranges::all_of(report.starts, is_possible);
}

void accept_snapshots(world &w)
{
    auto &usage = usage_of(w);
    for (auto const &report : w.in.usage_snapshots)
    {
        if (!is_plausible(w, *report))
        {
            ++w.proxy.duties->snapshots["implausible"];
            continue;
        }
        if (w.proxy.daemons.contains(report->sender))
        {
            w.proxy.duties->add_closed(report->closed);
        }
        if (report->leases.empty())
        {
            accept_snapshot(w, *report);
        }
        else if (report->wall_time.count() != 0 &&
                 w.proxy.daemons.contains(report->sender))
        {
            auto sample = usage.fleet_time.value_or(offset_sample{});
            take_sample(sample, report->wall_time - w.now.time_since_epoch(),
                        w.now);
            usage.fleet_time = sample;
        }
    }
}

/// Windows that ended before a change of the era may have been reported,
/// without a row that shows it, unless this daemon held the duty throughout.
void record_era(world &w)
{
    auto const &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    auto const window = window_now(w);
    if (usage.era == duties.era || !window)
    {
        return;
    }
    usage.era = duties.era;
    auto const &lease = duties.lease(duty::report_usage);
    if (!lease.held || w.now >= lease.authority_until)
    {
        usage.uncertain_until = *window;
    }
}

void drop_closed_windows(world &w)
{
    auto &usage = usage_of(w);
    auto const closed = w.proxy.duties->closed_window;
    auto const is_closed = [closed](auto const &item)
    { return item.first <= closed; };
    std::erase_if(usage.counts, is_closed);
    while (usage.counts.size() > max_open_windows)
    {
        log_proxied_request(
            w, log_level::error, "usage_counts_dropped",
            {{"window", std::to_string(usage.counts.begin()->first)}});
        usage.counts.erase(usage.counts.begin());
    }
    for (auto &[sender, received] : usage.received)
    {
        std::erase_if(received.counts, is_closed);
    }
    std::erase_if(usage.received, [&w](auto const &item)
                  { return w.now - item.second.heard_at > snapshot_lifetime; });
}

std::vector<std::string> receivers(world const &w)
{
    auto const &duties = *w.proxy.duties;
    std::set<std::string> names{w.identity.name};
    for (auto const &lease : duties.leases)
    {
        names.insert(lease.row.holder);
    }
    auto const holders = names.size();
    for (auto const &name : duty_ranking(w, duty::report_usage))
    {
        if (names.size() < holders + informed_successors)
        {
            names.insert(name);
        }
    }
    names.erase(w.identity.name);
    return addresses_of(w, {names.begin(), names.end()});
}

/// @return the counts in parts that each fit into a datagram
std::vector<std::vector<account_starts>> parts_of(window_counts const &counts)
{
    std::vector<std::vector<account_starts>> out(1);
    std::size_t bytes = 0;
    for (auto const &[window, accounts] : counts)
    {
        for (auto const &[account, requests] : accounts)
        {
            bytes += account.size() + entry_overhead;
            if (bytes > max_datagram_counts)
            {
                bytes = account.size() + entry_overhead;
                out.emplace_back();
            }
            out.back().push_back(
                {window, account, static_cast<std::uint32_t>(requests)});
        }
    }
    return out;
}

void send_snapshot(world &w)
{
    auto &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    peer_report<usage_snapshot> send;
    send.to = receivers(w);
    auto const offset = usage.clock.offset();
    if (send.to.empty() || !offset)
    {
        return;
    }
    auto const parts = parts_of(usage.counts);
    for (auto const &part : parts)
    {
        usage_snapshot out;
        out.sender = w.identity.name;
        out.incarnation = w.identity.incarnation.value();
        out.sequence = ++duties.sequence;
        out.starts = part;
        out.wall_time = w.now.time_since_epoch() + *offset;
        out.closed = duties.closed();
        if (&part == &parts.back())
        {
            out.open_window = window_now(w).value_or(0);
            std::ranges::transform(
                usage.activity, std::back_inserter(out.services),
                [](auto const &item) { return item.second; });
        }
        send.report = std::make_shared<usage_snapshot const>(std::move(out));
        w.out.usage_snapshots.push_back(send);
    }
}

} // namespace

void duty_state::add_closed(std::vector<struct closed_window> const &windows)
{
    for (auto const &item : windows)
    {
        closed_hashes.try_emplace(item.window, item.hash);
        closed_window = std::max(closed_window, item.window);
    }
    while (closed_hashes.size() > max_closed_hashes)
    {
        closed_hashes.erase(closed_hashes.begin());
    }
}

std::vector<struct closed_window> duty_state::closed() const
{
    std::vector<struct closed_window> out;
    std::ranges::transform(
        closed_hashes, std::back_inserter(out),
        [](auto const &item) {
            return agateledge::closed_window{item.first, item.second};
        });
    return out;
}

usage_state &usage_of(world &w)
{
    auto &usage = duties_of(w).usage;
    if (!usage)
    {
        usage = std::make_shared<usage_state>();
    }
    return *usage;
}

std::optional<duration> wall_time(world const &w)
{
    auto const &duties = w.proxy.duties;
    if (!duties || !duties->usage || !duties->usage->clock.offset())
    {
        return std::nullopt;
    }
    auto const &usage = *duties->usage;
    auto const own = *usage.clock.offset();
    auto const &fleet = usage.fleet_time;
    // The time of day of this host may have jumped before the daemon started.
    bool const differs =
        fleet && w.now - fleet->taken_at < fleet_time_lifetime &&
        std::chrono::abs(fleet->offset - own) > max_time_difference;
    return w.now.time_since_epoch() + (differs ? fleet->offset : own);
}

std::int64_t window_at(world const &w, duration wall_time)
{
    return wall_time / w.proxy.limits.duties.usage_window;
}

void count_stream_start(world &w, proxy_request_state const &request)
{
    auto *usage = counting(w);
    auto const window = usage != nullptr ? window_now(w) : std::nullopt;
    if (window && !request.account.empty() && !is_plain(request))
    {
        ++usage->counts[*window][request.account];
    }
}

void count_sent_call(world &w, proxy_request_state const &request, bool first,
                     int unread_tokens)
{
    auto *usage = counting(w);
    if (usage == nullptr)
    {
        return;
    }
    auto &activity = activity_of(*usage, request.service);
    activity.requests += first ? 1 : 0;
    activity.unread_tokens +=
        static_cast<std::uint64_t>(std::max(unread_tokens, 0));
    auto const window = window_now(w);
    if (window && !request.account.empty() && is_plain(request) &&
        usage->plain_starts.emplace(request.number, *window).second)
    {
        ++usage->counts[*window][request.account];
    }
}

void count_call_not_run(world &w, proxy_request_state const &request)
{
    auto *usage = counting(w);
    if (usage == nullptr || request.runs > 0)
    {
        return;
    }
    auto const found = usage->plain_starts.find(request.number);
    if (found == usage->plain_starts.end())
    {
        return;
    }
    // The entry stays when it becomes 0: the next snapshot must replace the
    // count that an earlier one stated.
    auto const window = usage->counts.find(found->second);
    if (window != usage->counts.end())
    {
        auto &count = window->second[request.account];
        count -= count > 0 ? 1 : 0;
    }
    usage->plain_starts.erase(found);
}

void count_request_end(world &w, proxy_request_state const &request, bool late,
                       bool refused)
{
    auto *usage = counting(w);
    if (usage != nullptr && !request.service.empty())
    {
        auto &activity = activity_of(*usage, request.service);
        activity.late += late ? 1 : 0;
        activity.refused += refused ? 1 : 0;
    }
}

void forget_counted_request(world &w, request_number number)
{
    if (auto *usage = counting(w))
    {
        usage->plain_starts.erase(number);
    }
}

void exchange_usage(world &w)
{
    if (!has_duties(w))
    {
        return;
    }
    auto &duties = duties_of(w);
    auto &usage = usage_of(w);
    if (duties.time_of_day && usage.clock.observe(w.now, duties.time_of_day()))
    {
        log_proxied_request(w, log_level::warning, "time_of_day_changed", {});
    }
    accept_snapshots(w);
    record_era(w);
    drop_closed_windows(w);
    if (usage.next_snapshot <= w.now)
    {
        usage.next_snapshot = w.now + snapshot_interval;
        add_difference(duties, usage.summed_activity, usage.activity);
        usage.summed_activity = usage.activity;
        send_snapshot(w);
    }
    wake_at(w, usage.next_snapshot);
}

} // namespace agateledge
