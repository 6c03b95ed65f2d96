#include "exchange_account_loads.hpp"

#include "account_state.hpp"
#include "exchange_topology.hpp"
#include "world.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Interval of the reports, short beside the half-life of the reported work.
constexpr duration report_interval = seconds(1);

/// Age after which a report is ignored: four lost ones in succession.
constexpr duration report_lifetime = seconds(5);

using load_list = std::vector<account_load>;

void append(load_list &list, load_list const &more)
{
    std::ranges::copy(more, std::back_inserter(list));
}

/// @return loads of the received reports of a scope. Of the reports that hubs
///         send, the newest of each data centre counts, so that a change of the
///         hub does not count its data centre twice.
load_list reported_loads(account_state const &state, load_scope scope)
{
    std::map<std::string, received_account_loads const *> newest;
    for (auto const &[sender, received] : state.reports)
    {
        auto const &report = *received.report;
        if (report.scope != scope)
        {
            continue;
        }
        auto &place =
            newest[scope == load_scope::daemon ? sender : report.data_centre];
        if (place == nullptr || place->received_at < received.received_at)
        {
            place = &received;
        }
    }
    load_list out;
    for (auto const &[key, received] : newest)
    {
        append(out, received->report->loads);
    }
    return out;
}

/// Subtracts this daemon's own loads from a sum that contains them.
load_list without(load_list sum, load_list const &own)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, account_load const *>
        by_account;
    for (auto const &load : own)
    {
        by_account[{load.service, load.account}] = &load;
    }
    for (auto &item : sum)
    {
        auto const found = by_account.find({item.service, item.account});
        if (found != by_account.end())
        {
            item.work = std::max(item.work - found->second->work, 0.0);
            item.demand = std::max(item.demand - found->second->demand, 0.0);
        }
    }
    return sum;
}

/// @return loads of the other daemons, as far as they were reported
load_list remote_loads(world const &w, account_state const &state)
{
    auto loads = reported_loads(state, load_scope::daemon);
    append(loads, reported_loads(state, load_scope::data_centre));
    if (loads.empty() && hub_of(w, w.identity.data_centre) != w.identity.name)
    {
        loads =
            without(reported_loads(state, load_scope::fleet), state.last_sent);
    }
    return combine_loads(std::move(loads));
}

/// @return true when the report replaces what its sender reported before
bool accept_report(world &w, account_state &state,
                   std::shared_ptr<account_load_report const> const &report)
{
    auto &results = w.proxy.metrics.load_reports;
    auto const peer = w.proxy.daemons.find(report->sender);
    bool const known = peer != w.proxy.daemons.end() &&
                       report->sender != w.identity.name &&
                       peer->second.data_centre == report->data_centre;
    if (!known)
    {
        ++results["unknown_sender"];
        return false;
    }
    auto &received = state.reports[report->sender];
    auto const order_of = [](account_load_report const &item)
    { return std::pair(item.incarnation, item.sequence); };
    if (received.report && order_of(*report) <= order_of(*received.report))
    {
        ++results["out_of_order"];
        return false;
    }
    ++results["accepted"];
    received = {report, w.now};
    return true;
}

void send_report(world &w, load_scope scope,
                 std::vector<std::string> const &names, load_list loads)
{
    auto to = addresses_of(w, names);
    if (to.empty())
    {
        return;
    }
    account_load_report report;
    report.sender = w.identity.name;
    report.data_centre = w.identity.data_centre;
    report.incarnation = w.identity.incarnation.value();
    report.sequence = ++w.proxy.accounts->sequence;
    report.scope = scope;
    report.loads = combine_loads(std::move(loads));
    w.out.account_load_reports.push_back(
        {std::move(to),
         std::make_shared<account_load_report const>(std::move(report))});
}

void send_reports(world &w, account_state &state)
{
    state.last_sent = combine_loads(state.usage.loads(w.now));
    if (is_mesh(w))
    {
        send_report(w, load_scope::daemon, all_peers(w), state.last_sent);
        return;
    }
    auto const hub = hub_of(w, w.identity.data_centre);
    if (hub != w.identity.name)
    {
        send_report(w, load_scope::daemon, {hub}, state.last_sent);
        return;
    }
    auto loads = reported_loads(state, load_scope::daemon);
    append(loads, state.last_sent);
    send_report(w, load_scope::data_centre, remote_hubs(w), loads);
    append(loads, reported_loads(state, load_scope::data_centre));
    send_report(w, load_scope::fleet, local_peers(w), std::move(loads));
}

} // namespace

void exchange_account_loads(world &w)
{
    auto &state = w.proxy.accounts;
    if (!w.proxy.routing->accounts || !state)
    {
        return;
    }
    bool changed = false;
    for (auto const &report : w.in.account_load_reports)
    {
        changed |= accept_report(w, *state, report);
    }
    changed |=
        std::erase_if(
            state->reports, [&w](auto const &item)
            { return w.now - item.second.received_at > report_lifetime; }) > 0;
    if (changed)
    {
        state->remote = remote_loads(w, *state);
    }
    if (w.now >= state->next_report)
    {
        state->next_report = w.now + report_interval;
        send_reports(w, *state);
    }
    wake_at(w, state->next_report);
}

} // namespace agateledge
