#include "exchange_loads.hpp"

#include "fleet_interval.hpp"
#include "rendezvous_rank.hpp"
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

/// Fleet size up to which all daemons report to all.
constexpr std::size_t most_in_mesh = 9;

/// Interval of the reports up to a fleet of this size, and the longest one of a
/// larger fleet. Prompts of 3,000 tokens are read in about this time.
constexpr duration shortest_interval = milliseconds(100);
constexpr double daemons_at_shortest_interval = 40;
constexpr duration longest_interval = milliseconds(250);

/// Age after which a report says nothing any more.
constexpr duration report_lifetime = seconds(1);

/// Pause between two sums over the reports.
constexpr duration sum_interval = milliseconds(40);

constexpr char const *hub_duty = "load_hub";

using loads_by_engine = std::map<std::uint64_t, engine_load>;

duration report_interval(world const &w)
{
    return fleet_interval(w.relay.sharing_daemons(),
                          daemons_at_shortest_interval, shortest_interval,
                          longest_interval);
}

bool is_mesh(world const &w)
{
    return w.relay.daemons.size() <= most_in_mesh;
}

/// @return hub of a data centre; empty when no daemon is known there
std::string hub_of(world const &w, std::string const &data_centre)
{
    std::string hub;
    std::uint64_t highest = 0;
    auto const consider = [&](std::string const &name)
    {
        auto const weight = rendezvous_weight(hub_duty, name);
        if (hub.empty() || weight > highest)
        {
            hub = name;
            highest = weight;
        }
    };
    for (auto const &[name, peer] : w.relay.daemons)
    {
        if (peer.data_centre == data_centre)
        {
            consider(name);
        }
    }
    if (data_centre == w.identity.data_centre)
    {
        consider(w.identity.name);
    }
    return hub;
}

std::vector<std::string> hubs_of_others(world const &w)
{
    std::set<std::string> data_centres;
    for (auto const &[name, peer] : w.relay.daemons)
    {
        if (peer.data_centre != w.identity.data_centre)
        {
            data_centres.insert(peer.data_centre);
        }
    }
    std::vector<std::string> out;
    std::ranges::transform(data_centres, std::back_inserter(out),
                           [&w](std::string const &data_centre)
                           { return hub_of(w, data_centre); });
    return out;
}

std::vector<engine_load> own_loads(world const &w)
{
    std::vector<engine_load> out;
    for (auto const &[id, instance] : w.relay.instances.all())
    {
        if (!instance.open_calls.empty())
        {
            out.push_back(
                {instance.load_key,
                 static_cast<std::uint32_t>(
                     std::max<std::int64_t>(instance.unread_tokens, 0)),
                 static_cast<std::uint32_t>(instance.open_calls.size())});
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
    }
}

std::uint32_t without(std::uint32_t total, std::uint32_t part)
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
                without(item.unread_tokens, load.unread_tokens);
            item.open_calls = without(item.open_calls, load.open_calls);
        }
    }
}

/// @return sum of the reports that are heard of the given scope, one for each
///         data centre when they sum up data centres
loads_by_engine heard_sum(world const &w, load_scope scope)
{
    std::map<std::string, heard_report const *> newest;
    for (auto const &[sender, heard] : w.relay.load.heard)
    {
        if (heard.report.scope != scope)
        {
            continue;
        }
        auto const &key =
            scope == load_scope::daemon ? sender : heard.report.data_centre;
        auto &place = newest[key];
        if (place == nullptr || place->heard_at < heard.heard_at)
        {
            place = &heard;
        }
    }
    loads_by_engine sum;
    for (auto const &[key, heard] : newest)
    {
        add(sum, heard->report.loads);
    }
    return sum;
}

std::vector<engine_load> list_of(loads_by_engine const &sum)
{
    std::vector<engine_load> out;
    std::ranges::transform(sum, std::back_inserter(out),
                           [](auto const &item) { return item.second; });
    return out;
}

/// @return work of all other daemons, as far as it is known here
loads_by_engine loads_of_others(world const &w)
{
    auto sum = heard_sum(w, load_scope::daemon);
    add(sum, list_of(heard_sum(w, load_scope::data_centre)));
    if (!sum.empty() || hub_of(w, w.identity.data_centre) == w.identity.name)
    {
        return sum;
    }
    sum = heard_sum(w, load_scope::fleet);
    subtract(sum, w.relay.load.last_sent);
    return sum;
}

void accept(world &w, peer_load_report const &report)
{
    auto const peer = w.relay.daemons.find(report.sender);
    bool const known = peer != w.relay.daemons.end() &&
                       peer->second.data_centre == report.data_centre;
    if (!known)
    {
        ++w.relay.metrics.load_reports["unknown_sender"];
        return;
    }
    auto &heard = w.relay.load.heard[report.sender];
    auto const age_of = [](peer_load_report const &item)
    { return std::pair(item.incarnation, item.sequence); };
    if (age_of(report) <= age_of(heard.report))
    {
        ++w.relay.metrics.load_reports["out_of_order"];
        return;
    }
    ++w.relay.metrics.load_reports["accepted"];
    heard = {report, w.now};
    w.relay.load.changed = true;
}

void drop_old_reports(world &w)
{
    auto &load = w.relay.load;
    auto const dropped = std::erase_if(
        load.heard, [&w](auto const &item)
        { return w.now - item.second.heard_at > report_lifetime; });
    load.changed |= dropped > 0;
}

void sum_up(world &w)
{
    auto &load = w.relay.load;
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
    load.next_sum = w.now + sum_interval;
    auto const others = loads_of_others(w);
    for (auto &[id, instance] : w.relay.instances.all())
    {
        auto const found = others.find(instance.load_key);
        bool const known = found != others.end();
        instance.others_unread_tokens = known ? found->second.unread_tokens : 0;
        instance.others_open_calls = known ? found->second.open_calls : 0;
    }
}

void send(world &w, load_scope scope, std::vector<std::string> const &names,
          std::vector<engine_load> loads)
{
    peer_load_send out;
    for (auto const &name : names)
    {
        auto const peer = w.relay.daemons.find(name);
        if (peer != w.relay.daemons.end() && !peer->second.address.empty())
        {
            out.to.push_back(peer->second.address);
        }
    }
    if (out.to.empty())
    {
        return;
    }
    peer_load_report report;
    report.sender = w.identity.name;
    report.data_centre = w.identity.data_centre;
    report.incarnation = w.identity.incarnation.value();
    report.sequence = ++w.relay.load.sequence;
    report.scope = scope;
    report.loads = std::move(loads);
    out.report = std::make_shared<peer_load_report const>(std::move(report));
    w.out.peer_load_reports.push_back(std::move(out));
}

/// @return other daemons that `wanted` holds for
template <class Predicate>
std::vector<std::string> names_of_peers(world const &w, Predicate wanted)
{
    std::vector<std::string> out;
    for (auto const &[name, peer] : w.relay.daemons)
    {
        if (name != w.identity.name && wanted(peer))
        {
            out.push_back(name);
        }
    }
    return out;
}

void report_as_hub(world &w, std::vector<engine_load> const &own)
{
    auto centre = heard_sum(w, load_scope::daemon);
    add(centre, own);
    send(w, load_scope::data_centre, hubs_of_others(w), list_of(centre));
    auto fleet = centre;
    add(fleet, list_of(heard_sum(w, load_scope::data_centre)));
    send(w, load_scope::fleet,
         names_of_peers(w, [&w](daemon_peer const &peer)
                        { return peer.data_centre == w.identity.data_centre; }),
         list_of(fleet));
}

void report(world &w)
{
    auto &load = w.relay.load;
    if (load.next_report > w.now)
    {
        wake_at(w, load.next_report);
        return;
    }
    load.next_report = w.now + report_interval(w);
    wake_at(w, load.next_report);
    load.last_sent = own_loads(w);
    if (is_mesh(w))
    {
        send(w, load_scope::daemon,
             names_of_peers(w, [](daemon_peer const &) { return true; }),
             load.last_sent);
        return;
    }
    auto const hub = hub_of(w, w.identity.data_centre);
    if (hub == w.identity.name)
    {
        report_as_hub(w, load.last_sent);
        return;
    }
    send(w, load_scope::daemon, {hub}, load.last_sent);
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
                          { accept(w, report); });
    drop_old_reports(w);
    sum_up(w);
    report(w);
}

} // namespace agateledge
