#include "assign_engine_roles.hpp"

#include "available_from.hpp"
#include "engine_role_order.hpp"
#include "engine_role_state.hpp"
#include "engine_speed.hpp"
#include "exponential_decay.hpp"
#include "log_proxied_request.hpp"
#include "plan_engine_roles.hpp"
#include "world.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

/// Weight of a new sample of the prefill delay. A daemon of a large fleet sees
/// some prefills a second.
constexpr double delay_weight = 0.1;
/// Half-life of the delay while there are no new samples.
constexpr double delay_half_life_s = 2;

constexpr duration plan_interval = milliseconds(500);

/// Time between two groups of engines that change, so that the effect of the
/// first one is seen, and engines stay available.
constexpr duration group_interval = seconds(2);

/// Time from the announcement of a change to its order: two exchanges of load
/// reports between the daemons of a large fleet.
constexpr duration announcement_time = milliseconds(700);

/// Time for which an engine takes no work: its calls end, it changes its role
/// in 3 s, and the directory shows the new role.
constexpr duration change_time = seconds(6);

/// Time in which an engine is not changed again. An order without an answer may
/// be carried out up to 12 s later.
constexpr duration settling_time = seconds(15);

constexpr duration order_timeout = seconds(1);

constexpr int http_ok = 200;
constexpr int http_accepted = 202;

engine_role_state &state_of(world &w)
{
    auto &state = w.proxy.roles;
    if (!state)
    {
        state = std::make_shared<engine_role_state>();
    }
    return *state;
}

engine_role other_role(engine_role role)
{
    return role == engine_role::prefill ? engine_role::decode
                                        : engine_role::prefill;
}

role_view view_of(world const &w, engine_role_state const &state,
                  std::string const &service)
{
    role_view out;
    auto const delay = state.delays.find(service);
    if (delay != state.delays.end())
    {
        out.prefill_delay =
            exponential_decay(delay->second.delay,
                              w.now - delay->second.seen_at, delay_half_life_s);
    }
    for (auto const *engine : w.proxy.instances.of_service(service))
    {
        auto const &definition = engine->definition;
        if (!definition.accepts_work || definition.role == engine_role::mixed)
        {
            continue;
        }
        auto const settled = state.settled_from.find(definition.id);
        bool const is_settled =
            settled == state.settled_from.end() || settled->second <= w.now;
        // The directory shows the new role some seconds after the order. Until
        // then the engine counts for it, or too many would change.
        bool const changes =
            std::max(engine->closed_until, engine->peer_closed_until) > w.now;
        auto const role =
            changes ? other_role(definition.role) : definition.role;
        out.engines.push_back({definition.id, role,
                               engine_speed(*engine, w.now),
                               static_cast<int>(engine->open_calls.size() +
                                                engine->peer_open_calls),
                               is_settled && !definition.reclaimable &&
                                   available_from(w, *engine) <= w.now});
    }
    return out;
}

void announce_changes(world &w, engine_role_state &state,
                      role_changes const &planned, role_view const &view)
{
    for (auto const &id : planned.instances)
    {
        auto *engine = w.proxy.instances.find(id);
        engine->closed_until = w.now + announcement_time + change_time;
        state.settled_from[id] = w.now + settling_time;
        state.changes.push_back(
            {id, planned.role, w.now + announcement_time, 0});
    }
    log_proxied_request(
        w, log_level::info, "engine_roles_planned",
        {{"role", std::string(name_of(planned.role))},
         {"engines", std::to_string(planned.instances.size())},
         {"of", std::to_string(view.engines.size())},
         {"prefill_delay_ms", milliseconds_text(view.prefill_delay)}});
}

void plan_services(world &w, engine_role_state &state)
{
    if (state.next_plan > w.now)
    {
        wake_at(w, state.next_plan);
        return;
    }
    state.next_plan = w.now + plan_interval;
    for (auto const &service : w.proxy.routing->services)
    {
        auto const view = view_of(w, state, service.name);
        auto const planned = plan_engine_roles(view);
        if (!planned.instances.empty())
        {
            announce_changes(w, state, planned, view);
            state.next_plan = w.now + group_interval;
        }
    }
    wake_at(w, state.next_plan);
}

void send_due_orders(world &w, engine_role_state &state,
                     duty_authority const &authority)
{
    for (auto &change : state.changes)
    {
        if (change.operation != 0)
        {
            continue;
        }
        if (change.due_at > w.now)
        {
            wake_at(w, change.due_at);
            continue;
        }
        auto const *engine = w.proxy.instances.find(change.instance);
        engine_role_order order;
        order.operation = ++state.last_operation;
        change.operation = order.operation;
        if (engine == nullptr)
        {
            continue;
        }
        order.instance = change.instance;
        order.address = engine->definition.address;
        order.role = change.role;
        order.holder = w.identity.name;
        order.fencing = authority.fencing;
        order.timeout = order_timeout;
        order.not_after = authority.valid_until;
        w.out.engine_role_orders.push_back(
            std::make_shared<engine_role_order const>(std::move(order)));
    }
    std::erase_if(state.changes, [](role_change const &change)
                  { return change.operation != 0; });
}

void handle_reply(world &w, engine_role_state &state,
                  engine_role_reply const &reply)
{
    ++state.orders[std::to_string(reply.status)];
    bool const accepted =
        reply.status == http_ok || reply.status == http_accepted;
    log_proxied_request(w, accepted ? log_level::info : log_level::warning,
                        "engine_role_ordered",
                        {{"instance", reply.instance},
                         {"status", std::to_string(reply.status)}});
    auto *engine = w.proxy.instances.find(reply.instance);
    // Without a reply the engine may carry out the order.
    if (engine != nullptr && reply.status != 0 && !accepted)
    {
        engine->closed_until = w.now;
    }
}

/// Withdraws the announcements of orders that have not been sent.
void withdraw_changes(world &w, engine_role_state &state)
{
    for (auto const &change : std::exchange(state.changes, {}))
    {
        if (auto *engine = w.proxy.instances.find(change.instance))
        {
            engine->closed_until = w.now;
        }
    }
}

} // namespace

void record_prefill_delay(world &w, std::string const &service, duration delay)
{
    if (!w.proxy.limits.duties.assigns_roles)
    {
        return;
    }
    auto &estimate = state_of(w).delays[service];
    auto const before = exponential_decay(
        estimate.delay, w.now - estimate.seen_at, delay_half_life_s);
    estimate.delay =
        from_seconds((1 - delay_weight) * to_seconds(before) +
                     delay_weight * std::max(to_seconds(delay), 0.0));
    estimate.seen_at = w.now;
}

void assign_engine_roles(world &w,
                         std::optional<duty_authority> const &authority)
{
    if (!w.proxy.limits.duties.assigns_roles)
    {
        return;
    }
    auto &state = state_of(w);
    for (auto const &reply : w.in.engine_role_replies)
    {
        handle_reply(w, state, *reply);
    }
    if (!authority)
    {
        withdraw_changes(w, state);
        return;
    }
    send_due_orders(w, state, *authority);
    plan_services(w, state);
}

} // namespace agateledge
