#include "order_capacity.hpp"

#include "capacity_row.hpp"
#include "capacity_state.hpp"
#include "directory_age.hpp"
#include "log_proxied_request.hpp"
#include "predict_first_event.hpp"
#include "row_transaction.hpp"
#include "usage_snapshot.hpp"
#include "world.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace agateledge
{

namespace
{

/// Key of the row in the table `duties`.
constexpr char const *row_key = "capacity";

constexpr duration sample_period = seconds(1);
constexpr duration plan_period = seconds(1);

/// Age above which a daemon's snapshot, sent every 500 ms, counts as missing:
/// several datagrams are lost.
constexpr duration max_snapshot_age = seconds(3);

/// Age of the directory above which nothing is ordered; it is read about every
/// 1.7 s.
constexpr duration max_directory_age = seconds(5);

/// Time-outs of a call to the platform and to the store, and the time after
/// which a reply that the adapter owes no longer comes.
constexpr duration call_timeout = seconds(1);
constexpr duration reply_slack = seconds(2);

/// A call with less time left until the authority ends is not sent.
constexpr duration min_call_time = milliseconds(100);

/// Pause after a failure; it doubles up to the limit, so that an outage of the
/// platform takes few calls.
constexpr duration first_retry_pause = milliseconds(500);
constexpr duration max_retry_pause = seconds(4);

/// Pause after the platform had no engines available: it has none for some
/// seconds after a reclaim.
constexpr duration unavailable_pause = seconds(8);

/// Pause after a reply that states that an order is invalid.
constexpr duration rejected_pause = seconds(30);

duration retry_pause(int failures)
{
    constexpr int max_doublings = 3;
    auto const doublings = std::clamp(failures - 1, 0, max_doublings);
    return std::min(duration(first_retry_pause) * (1 << doublings),
                    duration(max_retry_pause));
}

capacity_group_id id_of(capacity_order const &order)
{
    return {order.service, order.data_centre, order.reclaimable};
}

bool is_directory_current(world const &w)
{
    auto const known_at = directory_known_at(w);
    return known_at && w.now - *known_at <= max_directory_age;
}

capacity_state &state_of(world &w)
{
    if (!w.proxy.capacity)
    {
        w.proxy.capacity = std::make_shared<capacity_state>();
    }
    return *w.proxy.capacity;
}

std::size_t fleet_size(world const &w)
{
    return std::max<std::size_t>(w.proxy.daemons.size(), 1);
}

double open_requests(world const &w, std::string const &service)
{
    double out = 0;
    for (auto const *instance : w.proxy.instances.of_service(service))
    {
        out += static_cast<double>(instance->open_calls.size() +
                                   instance->peer_open_calls);
    }
    return out;
}

/// Adds samples to the load of each service; the load is unknown while less
/// than half of the daemons are heard.
void sample_loads(world &w, capacity_state &state)
{
    if (w.now < state.next_sample)
    {
        wake_at(w, state.next_sample);
        return;
    }
    state.next_sample = w.now + sample_period;
    wake_at(w, state.next_sample);
    state.activity.retain(
        [&w](std::string const &daemon) {
            return daemon == w.identity.name ||
                   w.proxy.daemons.contains(daemon);
        });
    bool const is_heard =
        state.activity.heard(w.now, max_snapshot_age) * 2 >= fleet_size(w);
    for (auto const &profile : w.proxy.routing->services)
    {
        if (!profile.capacity)
        {
            continue;
        }
        auto &service = state.services[profile.name];
        if (is_heard)
        {
            service.history.add(
                state.activity.total(profile.name, fleet_size(w)),
                open_requests(w, profile.name), w.now);
        }
        else
        {
            service.history.clear();
        }
        bool const is_known = service.history.load(w.now).has_value();
        if (is_known != service.load_known)
        {
            service.load_known = is_known;
            log_proxied_request(w, log_level::info, "capacity_load",
                                {{"service", profile.name},
                                 {"known", is_known ? "true" : "false"},
                                 {"daemons", std::to_string(fleet_size(w))}});
        }
    }
}

/// Adds the groups of the data centres with a price or an instance, and counts
/// the engines that take new work.
void count_engines(world const &w, capacity_state &state,
                   service_profile const &profile)
{
    std::set<std::string> data_centres;
    for (auto const &[name, price] : profile.capacity->prices)
    {
        data_centres.insert(name);
    }
    auto const &instances = w.proxy.instances.of_service(profile.name);
    for (auto const *instance : instances)
    {
        data_centres.insert(instance->definition.data_centre);
    }
    for (auto const &name : data_centres)
    {
        for (bool const reclaimable : {false, true})
        {
            auto &group = state.groups[{profile.name, name, reclaimable}];
            group.data_centre = name;
            group.reclaimable = reclaimable;
            group.serving = {};
        }
    }
    for (auto const *instance : instances)
    {
        auto const &definition = instance->definition;
        if (!definition.accepts_work || w.proxy.is_leaving(definition))
        {
            continue;
        }
        auto &counts = state
                           .groups[{profile.name, definition.data_centre,
                                    definition.reclaimable}]
                           .serving;
        counts.prefill += definition.role == engine_role::prefill ? 1 : 0;
        counts.decode += definition.role == engine_role::decode ? 1 : 0;
        counts.mixed += definition.role == engine_role::mixed ? 1 : 0;
    }
}

double speed_of(world const &w, std::string const &service, engine_role role)
{
    constexpr double ms_per_s = 1e3;
    instance_state engine;
    engine.definition.service = service;
    engine.definition.role = role;
    return prefill_tokens_per_ms(w, engine) * ms_per_s;
}

/// @return what the service is planned from; also updates the numbers that are
///         kept while its load is unknown
capacity_view view_of(world const &w, capacity_state &state,
                      service_profile const &profile)
{
    auto &service = state.services[profile.name];
    capacity_view out;
    out.now = w.now;
    out.service = profile.name;
    out.limits = *profile.capacity;
    out.slots = profile.slots;
    out.speeds = {speed_of(w, profile.name, engine_role::prefill),
                  speed_of(w, profile.name, engine_role::decode),
                  speed_of(w, profile.name, engine_role::mixed)};
    out.load = service.history.load(w.now);
    out.needed_before = service.needed;
    int expected = 0;
    int serving = 0;
    bool any_order = false;
    for (auto &[id, group] : state.groups)
    {
        if (id.service != profile.name)
        {
            continue;
        }
        auto const count = group.serving.total();
        group.held = group.ordered.value_or(std::max(group.held, count));
        any_order = any_order || group.ordered;
        expected += expected_engines(out, group);
        serving += count;
        out.groups.push_back(group);
    }
    if (out.load)
    {
        service.held_total = expected;
    }
    else if (!any_order)
    {
        service.held_total = std::max(service.held_total, serving);
    }
    if (!any_order)
    {
        service.configured_total = std::max(service.configured_total, serving);
    }
    out.configured_total = service.configured_total;
    out.held_total = service.held_total;
    service.load_was_known |= out.load.has_value();
    out.load_was_known = service.load_was_known;
    return out;
}

std::optional<open_order> take_open(capacity_state &state, auto const &matches)
{
    auto const found =
        std::find_if(state.open.begin(), state.open.end(), matches);
    if (found == state.open.end())
    {
        return std::nullopt;
    }
    auto out = std::move(*found);
    state.open.erase(found);
    return out;
}

void send_transaction(world &w, capacity_state &state,
                      std::vector<row_put> puts)
{
    auto &row = state.row;
    row_transaction transaction;
    transaction.operation = ++state.last_operation;
    transaction.owner = row_owner::capacity;
    transaction.conditions = {{row_key, row.version}};
    transaction.puts = std::move(puts);
    transaction.timeout = call_timeout;
    row.operation = transaction.operation;
    row.is_write = !transaction.puts.empty();
    state.era = std::max(state.era, w.proxy.store.era);
    row.era = state.era;
    row.lost_at = w.now + call_timeout + reply_slack;
    wake_at(w, row.lost_at);
    w.out.row_transactions.push_back(
        std::make_shared<row_transaction const>(std::move(transaction)));
}

/// Writes the numbers of all groups, including the planned ones.
void write_row(world &w, capacity_state &state)
{
    capacity_row content;
    for (auto const &[id, group] : state.groups)
    {
        if (group.ordered)
        {
            content.orders.push_back(
                {id.service, id.data_centre, *group.ordered, id.reclaimable});
        }
    }
    for (auto const &[name, service] : state.services)
    {
        content.held[name] = service.held_total;
    }
    send_transaction(w, state, {{row_key, capacity_row_to_text(content)}});
}

/// Restores the number from before an order that certainly had no effect.
void restore_group(capacity_state &state, open_order const &order)
{
    auto const found = state.groups.find(id_of(order.planned.order));
    if (found != state.groups.end())
    {
        found->second.ordered = order.ordered_before;
        found->second.ordered_at = order.ordered_at_before;
    }
}

/// Plans each service; the orders are sent once they are written.
void plan_services(world &w, capacity_state &state)
{
    for (auto const &profile : w.proxy.routing->services)
    {
        auto const &instances = w.proxy.instances.of_service(profile.name);
        // A row that lapsed in an outage does not tell whether its engine
        // serves.
        bool const is_uncertain =
            std::any_of(instances.begin(), instances.end(),
                        [](instance_state const *instance)
                        { return instance->expires_at.has_value(); });
        if (!profile.capacity || is_uncertain)
        {
            continue;
        }
        count_engines(w, state, profile);
        auto const plan = plan_capacity(view_of(w, state, profile));
        state.services[profile.name].needed = plan.needed;
        for (auto const &planned : plan.orders)
        {
            auto &group = state.groups[id_of(planned.order)];
            open_order order;
            order.planned = planned;
            order.ordered_before = group.ordered;
            order.ordered_at_before = group.ordered_at;
            group.ordered = planned.order.instances;
            group.ordered_at = w.now;
            state.unwritten.push_back(std::move(order));
        }
    }
    if (!state.unwritten.empty())
    {
        write_row(w, state);
    }
}

void read_again(world &w, capacity_state &state)
{
    auto &row = state.row;
    row.is_known = false;
    ++row.failures;
    row.retry_at = w.now + retry_pause(row.failures);
    for (auto const &order : state.unwritten)
    {
        restore_group(state, order);
    }
    state.unwritten.clear();
}

/// Continues from an order of the row. A number above that of the engines that
/// serve is ordered again, because the predecessor may not have sent it. A
/// lower one is planned anew, since the load is not known yet. What this daemon
/// ordered itself under the same authority is newer than the row, which may
/// come from an older copy of the store.
void adopt_order(world const &w, capacity_state &state,
                 capacity_order const &order)
{
    auto &group = state.groups[id_of(order)];
    if (group.ordered)
    {
        return;
    }
    group.data_centre = order.data_centre;
    group.reclaimable = order.reclaimable;
    auto const serving = group.serving.total();
    group.held = order.instances;
    group.ordered = std::max(order.instances, serving);
    if (order.instances > serving)
    {
        group.ordered_at = w.now;
        open_order again;
        again.planned = {order, serving, {order_reason::lost}};
        again.due_at = w.now;
        state.open.push_back(std::move(again));
    }
}

/// Continues from the orders of the row.
void adopt_row(world &w, capacity_state &state, stored_row const &stored)
{
    state.row.is_known = true;
    state.row.version = stored.version;
    state.row.failures = 0;
    if (stored.version == 0)
    {
        return;
    }
    auto const content = capacity_row_from_text(stored.value);
    if (!content)
    {
        log_proxied_request(w, log_level::error, "capacity_row_unreadable",
                            {{"row_version", std::to_string(stored.version)}});
        return;
    }
    for (auto const &[name, engines] : content->held)
    {
        auto &held = state.services[name].held_total;
        held = std::max(held, engines);
    }
    for (auto const &profile : w.proxy.routing->services)
    {
        if (profile.capacity)
        {
            count_engines(w, state, profile);
        }
    }
    for (auto const &order : content->orders)
    {
        adopt_order(w, state, order);
    }
}

void handle_row_reply(world &w, capacity_state &state,
                      row_transaction_reply const &reply)
{
    auto &row = state.row;
    row.operation = 0;
    bool const is_committed =
        reply.outcome == row_transaction_outcome::committed;
    // A read states version 0 as its condition, so that an existing row is
    // returned as a conflict.
    bool const is_read =
        !row.is_write &&
        (is_committed || reply.outcome == row_transaction_outcome::conflict);
    bool const is_newer_era = reply.store_era > row.era;
    state.era = std::max(state.era, reply.store_era);
    if (is_read)
    {
        // A read may also return rows that follow this one.
        auto const found = std::find_if(reply.rows.begin(), reply.rows.end(),
                                        [](stored_row const &stored)
                                        { return stored.key == row_key; });
        adopt_row(w, state, found == reply.rows.end() ? stored_row{} : *found);
        return;
    }
    // The store may have lost a write that it acknowledged in an older era.
    if (is_committed && !is_newer_era)
    {
        row.version = reply.version;
        row.failures = 0;
        for (auto &order : state.unwritten)
        {
            auto const id = id_of(order.planned.order);
            take_open(state, [&id](open_order const &other)
                      { return id_of(other.planned.order) == id; });
            order.due_at = w.now;
            state.open.push_back(std::move(order));
        }
        state.unwritten.clear();
        return;
    }
    log_proxied_request(w, log_level::warning, "capacity_row_not_written",
                        {{"status", std::to_string(reply.status)},
                         {"orders", std::to_string(state.unwritten.size())},
                         {"fault", reply.fault}});
    read_again(w, state);
}

std::string reasons_text(std::vector<order_reason> const &reasons)
{
    std::string out;
    for (auto const reason : reasons)
    {
        out += out.empty() ? "" : ",";
        out += name_of(reason);
    }
    return out;
}

std::string_view name_of(platform_outcome outcome)
{
    switch (outcome)
    {
    case platform_outcome::accepted:
        return "accepted";
    case platform_outcome::unavailable:
        return "unavailable";
    case platform_outcome::throttled:
        return "throttled";
    case platform_outcome::not_sent:
        return "not_sent";
    case platform_outcome::rejected:
        return "rejected";
    case platform_outcome::unknown:
        break;
    }
    return "unknown";
}

void log_order(world &w, capacity_state const &state, open_order const &order,
               platform_reply const &reply)
{
    auto const &planned = order.planned;
    auto const service = state.services.find(planned.order.service);
    auto const needed =
        service == state.services.end() ? 0 : service->second.needed;
    bool const is_accepted = reply.outcome == platform_outcome::accepted;
    log_proxied_request(
        w, is_accepted ? log_level::info : log_level::warning,
        "capacity_ordered",
        {{"result", std::string(name_of(reply.outcome))},
         {"service", planned.order.service},
         {"data_centre", planned.order.data_centre},
         {"reclaimable", planned.order.reclaimable ? "true" : "false"},
         {"before", std::to_string(planned.before)},
         {"after", std::to_string(planned.order.instances)},
         {"reasons", reasons_text(planned.reasons)},
         {"needed", std::to_string(needed)},
         {"status", std::to_string(reply.status)}});
}

/// Notes the effect of an accepted order, for the pauses between opposite ones.
void note_accepted(world const &w, open_order const &order,
                   capacity_group &group)
{
    auto const engines = order.planned.order.instances;
    group.ordered_at = w.now;
    group.refusals = 0;
    (engines < order.planned.before ? group.lowered_at : group.raised_at) =
        w.now;
}

void handle_order_reply(world &w, capacity_state &state,
                        platform_reply const &reply)
{
    auto taken = take_open(state, [&reply](open_order const &order)
                           { return order.operation == reply.operation; });
    if (!taken)
    {
        return;
    }
    auto &order = *taken;
    auto &group = state.groups[id_of(order.planned.order)];
    ++state.results[std::string(name_of(reply.outcome))];
    log_order(w, state, order, reply);
    bool const is_lower = order.planned.order.instances < order.planned.before;
    switch (reply.outcome)
    {
    case platform_outcome::accepted:
        note_accepted(w, order, group);
        return;
    case platform_outcome::unavailable:
        group.unavailable_until = w.now + unavailable_pause;
        ++group.refusals;
        restore_group(state, order);
        return;
    case platform_outcome::rejected:
        group.unavailable_until = w.now + rejected_pause;
        restore_group(state, order);
        return;
    case platform_outcome::throttled:
    case platform_outcome::not_sent:
    case platform_outcome::unknown:
        break;
    }
    order.operation = 0;
    order.is_uncertain =
        order.is_uncertain || reply.outcome == platform_outcome::unknown;
    ++order.failures;
    order.due_at = w.now + retry_pause(order.failures);
    if (is_lower && !order.is_uncertain)
    {
        // The load may rise until the platform is reachable, so a removal that
        // had no effect is planned anew.
        restore_group(state, order);
        state.next_plan = std::max(state.next_plan, order.due_at);
        return;
    }
    wake_at(w, order.due_at);
    state.open.push_back(std::move(order));
}

void send_orders(world &w, capacity_state &state,
                 duty_authority const &authority)
{
    for (auto &order : state.open)
    {
        if (order.operation != 0)
        {
            continue;
        }
        auto const time_left = authority.valid_until - w.now;
        if (order.due_at > w.now || time_left < min_call_time)
        {
            wake_at(w, std::max(order.due_at, w.now + min_call_time));
            continue;
        }
        platform_call call;
        call.operation = ++state.last_operation;
        call.holder = w.identity.name;
        call.fencing = authority.fencing;
        call.body = order.planned.order;
        call.timeout = std::min(duration(call_timeout), duration(time_left));
        call.not_after = authority.valid_until;
        order.operation = call.operation;
        order.due_at = w.now + call.timeout + reply_slack;
        wake_at(w, order.due_at);
        w.out.platform_calls.push_back(
            std::make_shared<platform_call const>(std::move(call)));
    }
}

/// Ends operations whose replies no longer come.
void expire_operations(world &w, capacity_state &state)
{
    if (state.row.operation != 0 && w.now >= state.row.lost_at)
    {
        row_transaction_reply reply;
        reply.fault = "no reply";
        reply.operation = state.row.operation;
        handle_row_reply(w, state, reply);
    }
    std::vector<std::uint64_t> lost;
    for (auto const &order : state.open)
    {
        if (order.operation != 0 && w.now >= order.due_at)
        {
            lost.push_back(order.operation);
        }
    }
    for (auto const operation : lost)
    {
        handle_order_reply(w, state, {operation, platform_outcome::unknown, 0});
    }
}

void apply_replies(world &w, capacity_state &state)
{
    for (auto const &reply : w.in.row_transaction_replies)
    {
        if (reply->owner == row_owner::capacity &&
            reply->operation == state.row.operation)
        {
            handle_row_reply(w, state, *reply);
        }
    }
    for (auto const &reply : w.in.platform_replies)
    {
        handle_order_reply(w, state, *reply);
    }
    expire_operations(w, state);
}

/// Discards what belongs to an authority that ended; the row has it.
void reset_authority(capacity_state &state, std::uint64_t fencing)
{
    state.fencing = fencing;
    state.row = {};
    state.unwritten.clear();
    state.open.clear();
    state.groups.clear();
    for (auto &[name, service] : state.services)
    {
        service.held_total = 0;
        service.load_was_known = false;
        service.needed = 0;
    }
}

void act(world &w, capacity_state &state, duty_authority const &authority)
{
    if (state.row.operation != 0)
    {
        return;
    }
    if (!is_directory_current(w))
    {
        return;
    }
    if (!state.row.is_known)
    {
        if (w.now < state.row.retry_at)
        {
            wake_at(w, state.row.retry_at);
            return;
        }
        state.row.version = 0;
        send_transaction(w, state, {});
        return;
    }
    send_orders(w, state, authority);
    bool const any_call = std::any_of(state.open.begin(), state.open.end(),
                                      [](open_order const &order)
                                      { return order.operation != 0; });
    if (!any_call && w.now >= state.next_plan)
    {
        state.next_plan = w.now + plan_period;
        plan_services(w, state);
    }
    if (state.next_plan > w.now)
    {
        wake_at(w, state.next_plan);
    }
}

} // namespace

void record_service_activity(world &w, usage_snapshot const &snapshot)
{
    if (w.proxy.limits.duties.orders_capacity)
    {
        state_of(w).activity.record(snapshot, w.now);
    }
}

void order_capacity(world &w, std::optional<duty_authority> const &authority)
{
    if (!w.proxy.limits.duties.orders_capacity)
    {
        return;
    }
    auto &state = state_of(w);
    for (auto const &snapshot : w.in.usage_snapshots)
    {
        // Reports of other content, such as those of leases, have no services.
        bool const is_activity = !snapshot->services.empty();
        if (is_activity && w.proxy.daemons.contains(snapshot->sender))
        {
            record_service_activity(w, *snapshot);
        }
    }
    sample_loads(w, state);
    state.is_holder = authority.has_value();
    // Authority that returns with the same token was not held by another daemon
    // in the meantime.
    if (authority && authority->fencing != state.fencing)
    {
        reset_authority(state, authority->fencing);
    }
    apply_replies(w, state);
    if (authority)
    {
        act(w, state, *authority);
    }
}

} // namespace agateledge
