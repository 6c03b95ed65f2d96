#include "issue_orders.hpp"

#include "apply_configuration.hpp"
#include "backoff_delay.hpp"
#include "meets_target.hpp"
#include "reassign_open_work.hpp"
#include "renew_leases.hpp"
#include "send_table_call.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration poll_interval = milliseconds(100);
constexpr duration operation_timeout = seconds(2);
constexpr duration backoff_base = milliseconds(100);
constexpr duration max_backoff = seconds(2);
/// Intervals at which an unresolved order is sent again. The engine has already
/// taken an accepted one, so sending it again only asks for its state.
constexpr duration resend_interval = seconds(1);
constexpr duration resend_accepted_interval = seconds(3);
/// Time after the drain time-out in which all daemons move their open work to
/// other engines.
constexpr duration move_timeout = seconds(5);
/// Orders recorded for one requested change before it is dropped.
constexpr int max_orders_per_change = 2;

std::string order_key(std::string const &engine)
{
    return "order/" + engine;
}

void log_order(world &w, order_state const &state, std::string event)
{
    auto const &record = state.record;
    w.out.log_entries.push_back(
        {log_level::info,
         std::move(event),
         {{"engine", state.engine},
          {"order", record.order.id},
          {"state", std::string(name_of(record.state))},
          {"fencing", std::to_string(record.order.fencing.value())}}});
}

bool makes_engine_unavailable(order_state const &state)
{
    return state.step != order_step::idle && state.step != order_step::reading;
}

bool may_act(world const &w)
{
    return holds_authority(w, w.identity.data_centre) && !w.draining &&
           !configuration_stale(w);
}

void set_step(world &w, order_state &state, order_step step)
{
    state.step = step;
    if (step == order_step::idle && !state.requested)
    {
        w.orders.active.erase(state.engine);
    }
    else
    {
        w.orders.active.insert(state.engine);
    }
    refresh_changing(w, state.engine);
}

engine_state const *engine_of(world const &w, order_state const &state)
{
    auto const index = w.engines.find(state.engine);
    return index ? &w.engines.at(*index) : nullptr;
}

bool checks_fencing(world const &w, order_state const &state)
{
    auto const *engine = engine_of(w, state);
    return engine == nullptr || engine->definition.checks_fencing;
}

/// Delays the next order of an engine that ignores fencing numbers. The engine
/// may receive a delayed copy of an earlier order until that order's deadline,
/// or an order from a previous holder that was paused between checking its
/// authority and sending.
void quarantine(world &w, order_state &state)
{
    if (checks_fencing(w, state) || w.faults.skip_order_resolution)
    {
        return;
    }
    state.quarantined_until =
        w.now + state.record.order.time_to_live + lease_time_to_live;
}

void back_off(world &w, order_state &state)
{
    ++state.failures;
    state.not_before = w.now + backoff_delay(w.random, state.failures,
                                             backoff_base, max_backoff);
}

void send(world &w, order_state &state, table_call call)
{
    state.operation_sent_at = w.now;
    state.operation = send_table_call(w, table_owner::order, std::move(call));
}

void send_read(world &w, order_state &state)
{
    table_call call;
    call.keys.push_back(order_key(state.engine));
    send(w, state, std::move(call));
}

/// Writes the record on condition that neither the holder of the lease nor the
/// row has changed.
void send_record(world &w, order_state &state)
{
    auto const &data_centre = w.identity.data_centre;
    auto &record = state.record;
    record.holder = w.identity.name;
    record.attempt = w.identity.name + ":" +
                     std::to_string(w.identity.incarnation.value()) +
                     ":order:" + std::to_string(w.last_operation + 1);
    table_call call;
    call.conditions.push_back(
        {"fence/" + data_centre, w.leases.find(data_centre)->fence_version});
    call.conditions.push_back({order_key(state.engine), state.row_version});
    call.puts.push_back(
        {order_key(state.engine), order_record_to_text(record)});
    send(w, state, std::move(call));
}

std::string next_order_id(world &w)
{
    return w.identity.name + ":" +
           std::to_string(w.identity.incarnation.value()) + ":" +
           std::to_string(++w.orders.last_sequence);
}

/// Records an order for the requested change, or drops the request when it is
/// no longer needed.
void begin_order(world &w, order_state &state)
{
    if (w.now < state.quarantined_until)
    {
        return;
    }
    auto const wanted = *std::exchange(state.requested, std::nullopt);
    auto const *engine = engine_of(w, state);
    if (engine == nullptr || !engine->configured || !engine->report ||
        meets_target(*engine->report, wanted))
    {
        set_step(w, state, order_step::idle);
        return;
    }
    state.record = {wanted};
    state.record.tries = state.requested_tries;
    auto &order = state.record.order;
    order.id = next_order_id(w);
    order.fencing = w.orders.fencing;
    order.expected_generation = engine->report->generation;
    state.requested = wanted;
    set_step(w, state, order_step::recording);
    send_record(w, state);
}

void begin_drain(world &w, order_state &state)
{
    state.requested.reset();
    state.drain_started.reset();
    state.last_sent.reset();
    state.work_moved = false;
    state.accepted = false;
    set_step(w, state, order_step::draining);
}

void adopt_order(world &w, order_state &state)
{
    state.record.order.fencing = w.orders.fencing;
    state.requested.reset();
    log_order(w, state, "order_adopted");
    set_step(w, state, order_step::recording);
}

void handle_open_row(world &w, order_state &state)
{
    if (state.record.order.fencing == w.orders.fencing)
    {
        begin_drain(w, state);
        return;
    }
    adopt_order(w, state);
}

void handle_row(world &w, order_state &state, table_row const &row)
{
    state.row_version = row.version;
    if (row.version == 0)
    {
        set_step(w, state, order_step::idle);
        return;
    }
    auto const record = order_record_from_text(row.value);
    state.record = record.ok() ? *record : order_record();
    if (record.ok() && record->state == order_record_state::open &&
        !w.faults.skip_order_resolution)
    {
        handle_open_row(w, state);
        return;
    }
    quarantine(w, state);
    set_step(w, state, order_step::idle);
}

void finish_order(world &w, order_state &state)
{
    auto const &record = state.record;
    log_order(w, state, "order_resolved");
    if (record.state == order_record_state::done &&
        record.order.kind == order_kind::change_role)
    {
        ++w.totals.role_changes;
    }
    quarantine(w, state);
    if (record.state == order_record_state::lost &&
        record.tries < max_orders_per_change)
    {
        state.requested = record.order;
        state.requested_tries = record.tries + 1;
    }
    set_step(w, state, order_step::idle);
}

void handle_commit(world &w, order_state &state, table_reply const &reply)
{
    auto const key = order_key(state.engine);
    auto const row = std::ranges::find(reply.rows, key, &table_row::key);
    if (row == reply.rows.end())
    {
        back_off(w, state);
        return;
    }
    state.failures = 0;
    switch (state.step)
    {
    case order_step::reading:
        handle_row(w, state, *row);
        return;
    case order_step::recording:
        state.row_version = row->version;
        log_order(w, state, "order_recorded");
        begin_drain(w, state);
        return;
    case order_step::resolving:
        state.row_version = row->version;
        finish_order(w, state);
        return;
    case order_step::idle:
    case order_step::draining:
    case order_step::sent:
        return;
    }
}

/// Reads the row again after an operation with an unknown outcome.
void reread_row(world &w, order_state &state)
{
    set_step(w, state, order_step::reading);
    back_off(w, state);
}

void handle_reply(world &w, order_state &state, table_reply const &reply)
{
    state.operation.reset();
    switch (reply.outcome)
    {
    case table_outcome::committed:
        handle_commit(w, state, reply);
        return;
    case table_outcome::conflict:
        w.leases.find(w.identity.data_centre)->next_action = w.now;
        reread_row(w, state);
        return;
    case table_outcome::unknown:
        reread_row(w, state);
        return;
    case table_outcome::unavailable:
        back_off(w, state);
        return;
    }
}

void resolve(world &w, order_state &state, order_record_state name)
{
    state.record.state = name;
    set_step(w, state, order_step::resolving);
    send_record(w, state);
}

/// Resolves the order if the engine's report or the configuration shows what
/// became of it.
///
/// @return true when the order needs no further drain or send
bool resolve_from_report(world &w, order_state &state)
{
    auto const *engine = engine_of(w, state);
    auto const &order = state.record.order;
    if (engine == nullptr || !engine->configured)
    {
        auto const since =
            state.last_sent.value_or(state.drain_started.value_or(w.now));
        if (w.now - since >= order.time_to_live)
        {
            resolve(w, state, order_record_state::abandoned);
        }
        return true;
    }
    if (!engine->report ||
        engine->report->generation <= order.expected_generation)
    {
        return false;
    }
    bool const took_effect = engine->report->last_order == order.id;
    if (!took_effect || engine->report->ready)
    {
        resolve(w, state,
                took_effect ? order_record_state::done
                            : order_record_state::lost);
    }
    return true;
}

void send_order(world &w, order_state &state)
{
    auto const *engine = engine_of(w, state);
    auto const *lease = w.leases.find(w.identity.data_centre);
    order_call call;
    call.address = engine->definition.address;
    call.order = state.record.order;
    call.not_after = lease->authority_until;
    w.out.order_calls.push_back(std::move(call));
    w.totals.orders_sent += state.last_sent ? 0 : 1;
    state.last_sent = w.now;
    set_step(w, state, order_step::sent);
}

bool is_idle(world const &w, order_state const &state)
{
    auto const *engine = engine_of(w, state);
    return engine->local_requests == 0 && engine->peer_requests == 0 &&
           engine->report &&
           engine->report_measured_at >=
               *state.drain_started + change_notice_delay &&
           engine->report->running == 0 && engine->report->waiting == 0;
}

void drain(world &w, order_state &state)
{
    if (!state.drain_started)
    {
        state.drain_started = w.now;
    }
    if (resolve_from_report(w, state))
    {
        return;
    }
    auto const lasted = w.now - *state.drain_started;
    if (lasted >= w.config.policy.drain_timeout && !state.work_moved)
    {
        state.work_moved = true;
        reassign_open_work(w, *w.engines.find(state.engine));
    }
    if (is_drained(w, state))
    {
        send_order(w, state);
    }
}

void resend_if_due(world &w, order_state &state)
{
    if (resolve_from_report(w, state))
    {
        return;
    }
    auto const interval =
        state.accepted ? resend_accepted_interval : resend_interval;
    if (!state.last_sent || w.now - *state.last_sent >= interval)
    {
        send_order(w, state);
    }
}

/// Suspends the order while this daemon may not act: nothing is sent, a
/// requested change is dropped, and an engine that is only being drained takes
/// work again.
void pause_order(world &w, order_state &state)
{
    state.requested.reset();
    state.drain_started.reset();
    state.work_moved = false;
    if (state.step == order_step::recording)
    {
        state.step = order_step::reading;
    }
    set_step(w, state, state.step);
}

void run_step(world &w, order_state &state)
{
    switch (state.step)
    {
    case order_step::reading:
        send_read(w, state);
        return;
    case order_step::idle:
        begin_order(w, state);
        return;
    case order_step::recording:
    case order_step::resolving:
        send_record(w, state);
        return;
    case order_step::draining:
        drain(w, state);
        return;
    case order_step::sent:
        resend_if_due(w, state);
        return;
    }
}

void advance(world &w, order_state &state)
{
    if (state.operation && w.now - state.operation_sent_at >= operation_timeout)
    {
        state.operation.reset();
        reread_row(w, state);
    }
    if (state.operation)
    {
        return;
    }
    if (!may_act(w))
    {
        pause_order(w, state);
        return;
    }
    if (w.now >= state.not_before)
    {
        run_step(w, state);
    }
}

void clear_orders(world &w)
{
    auto const states = std::exchange(w.orders.states, {});
    w.orders.active.clear();
    w.orders.fencing = fencing_number();
    for (auto const &[engine, state] : states)
    {
        refresh_changing(w, engine);
    }
}

/// Reads the order rows of all engines of the data centre in one operation.
void read_order_rows(world &w, fencing_number fencing)
{
    w.orders.fencing = fencing;
    table_call call;
    for (auto const &engine : w.engines.all())
    {
        if (engine.definition.data_centre == w.identity.data_centre)
        {
            call.keys.push_back(order_key(engine.definition.name));
        }
    }
    if (call.keys.empty())
    {
        return;
    }
    auto const operation =
        send_table_call(w, table_owner::order, std::move(call));
    for (auto const &engine : w.engines.all())
    {
        if (engine.definition.data_centre != w.identity.data_centre)
        {
            continue;
        }
        auto &state = w.orders.states[engine.definition.name];
        state.engine = engine.definition.name;
        state.operation = operation;
        state.operation_sent_at = w.now;
        w.orders.active.insert(state.engine);
    }
}

void apply_lease(world &w, lease_state const &lease)
{
    bool const fencing_changed = lease.row.fencing != w.orders.fencing;
    if (w.orders.fencing.value() != 0 && (!lease.held || fencing_changed))
    {
        clear_orders(w);
    }
    if (lease.held && fencing_changed)
    {
        read_order_rows(w, lease.row.fencing);
    }
}

void handle_table_reply(world &w, table_reply const &reply)
{
    auto const engines = w.orders.active;
    for (auto const &engine : engines)
    {
        auto &state = w.orders.states.at(engine);
        if (state.operation == reply.operation)
        {
            handle_reply(w, state, reply);
        }
    }
}

void handle_order_reply(world &w, order_reply const &reply)
{
    auto const found = w.orders.states.find(reply.engine);
    if (found == w.orders.states.end() ||
        found->second.record.order.id != reply.order_id)
    {
        return;
    }
    if (reply.outcome == order_outcome::refused_fencing)
    {
        w.leases.find(w.identity.data_centre)->next_action = w.now;
    }
    found->second.accepted = reply.outcome == order_outcome::accepted;
}

} // namespace

void refresh_changing(world &w, std::string const &engine)
{
    auto const index = w.engines.find(engine);
    if (!index)
    {
        return;
    }
    auto const state = w.orders.states.find(engine);
    bool const changed_here = state != w.orders.states.end() &&
                              makes_engine_unavailable(state->second) &&
                              may_act(w);
    w.engines.at(*index).changing =
        changed_here || w.orders.notices.contains(engine);
}

bool is_drained(world const &w, order_state const &state)
{
    if (w.faults.skip_drain)
    {
        return true;
    }
    auto const max_drain_time = w.config.policy.drain_timeout + move_timeout;
    return is_idle(w, state) || w.now - *state.drain_started >= max_drain_time;
}

void issue_orders(world &w)
{
    auto const *lease = w.leases.find(w.identity.data_centre);
    if (lease == nullptr)
    {
        return;
    }
    apply_lease(w, *lease);
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::order)
        {
            handle_table_reply(w, reply);
        }
    }
    std::ranges::for_each(w.in.order_replies, [&w](order_reply const &reply)
                          { handle_order_reply(w, reply); });
    if (w.orders.active.empty())
    {
        return;
    }
    auto const engines = w.orders.active;
    std::ranges::for_each(engines, [&w](std::string const &engine)
                          { advance(w, w.orders.states.at(engine)); });
    wake_at(w, w.now + poll_interval);
}

} // namespace agateledge
