#include "plan_role_changes.hpp"

#include "renew_leases.hpp"
#include "request_order.hpp"
#include "role_capacity.hpp"
#include "world.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace agateledge
{

namespace
{

constexpr duration plan_interval = seconds(2);
/// Time constant of the moving average of the demand.
constexpr double demand_averaging_seconds = 15;
/// Consecutive plans that must favour the same move before it is ordered.
constexpr int min_consecutive_plans = 3;
/// Minimum time between two role changes.
constexpr duration min_change_interval = seconds(8);
/// Engines of a service that may be unavailable at the same time, over all data
/// centres.
constexpr int max_unavailable = 2;
/// Time for which an order makes an engine unavailable, without the drain.
constexpr double order_execution_seconds = 4;
/// Expected time of a drain: prefill work ends soon, answers continue to be
/// decoded.
constexpr double prefill_drain_seconds = 1;
constexpr double decode_drain_seconds = 15;

constexpr std::array<role_move, 6> moves = {{
    {engine_role::mixed, engine_role::prefill},
    {engine_role::mixed, engine_role::decode},
    {engine_role::prefill, engine_role::mixed},
    {engine_role::prefill, engine_role::decode},
    {engine_role::decode, engine_role::mixed},
    {engine_role::decode, engine_role::prefill},
}};

/// Engines and demand of one service, as input of a plan.
struct fleet
{
    std::string service;
    role_counts engines;
    role_rates rates;
    token_demand demand;
    double weight_per_second = 0;
    int unavailable = 0;
};

struct proposal
{
    role_move move;
    double gain = 0;
};

double &count_of(role_counts &counts, engine_role role)
{
    switch (role)
    {
    case engine_role::prefill:
        return counts.prefill;
    case engine_role::decode:
        return counts.decode;
    case engine_role::mixed:
        break;
    }
    return counts.mixed;
}

int daemon_count(world const &w)
{
    return w.hooks.live_daemons > 0 ? w.hooks.live_daemons
                                    : std::max(1, w.peers.live_daemons);
}

bool may_plan(world const &w)
{
    auto const &data_centre = w.identity.data_centre;
    return w.hooks.may_plan_for ? w.hooks.may_plan_for(w, data_centre)
                                : holds_authority(w, data_centre);
}

void count_arrivals(world &w)
{
    for (auto const &arrival : w.in.arrivals)
    {
        auto const kind = std::ranges::find(
            w.config.classes, arrival.class_name, &request_class::name);
        if (!arrival.service.empty() || kind == w.config.classes.end())
        {
            continue;
        }
        auto &demand = w.plan.demand[kind->service];
        demand.prompt_tokens += arrival.prompt_tokens;
        demand.output_tokens +=
            w.costs.expected_output(kind->name, kind->expected_output_tokens);
        demand.weight += kind->weight;
    }
}

void average_demand(world &w)
{
    auto const passed = to_seconds(w.now - w.plan.counted_at);
    w.plan.counted_at = w.now;
    auto const decay = std::exp(-passed / demand_averaging_seconds);
    auto const scale = passed > 0 ? (1 - decay) / passed : 0.0;
    for (auto &[service, demand] : w.plan.demand)
    {
        auto const update_mean = [&](double &mean, double &sum)
        {
            mean = decay * mean + scale * sum;
            sum = 0;
        };
        update_mean(demand.prompt_tokens_per_second, demand.prompt_tokens);
        update_mean(demand.output_tokens_per_second, demand.output_tokens);
        update_mean(demand.weight_per_second, demand.weight);
    }
}

double decode_rate(role_costs const &costs)
{
    auto const batch = costs.batch_limit;
    return batch / (costs.step_base + costs.step_slope * batch);
}

/// @return the learned rates of the roles with enough samples and the
///         defaults of the others
role_rates rates_of(world const &w, std::string const &service)
{
    constexpr int min_samples = 50;
    role_rates out;
    auto const &prefill = w.costs.role(service, engine_role::prefill);
    auto const &decode = w.costs.role(service, engine_role::decode);
    if (prefill.prefill_samples > min_samples)
    {
        out.prefill = prefill.prefill_rate;
    }
    if (decode.step_samples > min_samples)
    {
        out.decode = decode_rate(decode);
    }
    return out;
}

fleet fleet_of(world const &w, std::string const &service,
               service_demand const &demand)
{
    fleet out;
    out.service = service;
    out.rates = rates_of(w, service);
    auto const daemons = daemon_count(w);
    out.demand = {demand.prompt_tokens_per_second * daemons,
                  demand.output_tokens_per_second * daemons};
    double hit_share_sum = 0;
    double prefill_engines = 0;
    out.weight_per_second = demand.weight_per_second * daemons;
    for (auto const &engine : w.engines.all())
    {
        if (engine.definition.service != service)
        {
            continue;
        }
        bool const unavailable =
            engine.changing || (engine.report && !engine.report->ready);
        out.unavailable += unavailable ? 1 : 0;
        if (engine.takes_work() || unavailable)
        {
            count_of(out.engines, engine.role()) += 1;
        }
        if (engine.role() != engine_role::decode)
        {
            hit_share_sum +=
                w.costs.engine(*w.engines.find(engine.definition.name))
                    .prefix_hit_ratio;
            prefill_engines += 1;
        }
    }
    out.demand.prompt *=
        1 - (prefill_engines > 0 ? hit_share_sum / prefill_engines : 0.0);
    return out;
}

double gain_of(world const &w, fleet const &state, role_move move)
{
    auto const goodput = [&state](role_counts const &engines) {
        return expected_goodput(
            utilisation(engines, state.rates, state.demand));
    };
    auto without_engine = state.engines;
    count_of(without_engine, move.from) -= 1;
    auto changed = without_engine;
    count_of(changed, move.to) += 1;
    auto const current = goodput(state.engines);
    auto const horizon = to_seconds(w.config.policy.role_horizon);
    auto const drain_seconds = move.from == engine_role::prefill
                                   ? prefill_drain_seconds
                                   : decode_drain_seconds;
    auto const unavailable_seconds = order_execution_seconds + drain_seconds;
    auto const gained =
        (goodput(changed) - current) * (horizon - unavailable_seconds);
    auto const lost =
        std::max(0.0, current - goodput(without_engine)) * unavailable_seconds;
    return (gained - lost) * state.weight_per_second;
}

std::optional<proposal> best_move(world const &w, fleet const &state)
{
    std::optional<proposal> best;
    for (auto const &move : moves)
    {
        auto engines = state.engines;
        // The last engine of a role is not changed.
        if (count_of(engines, move.from) < 2)
        {
            continue;
        }
        auto const gain = gain_of(w, state, move);
        if (gain > w.config.policy.role_change_weight &&
            (!best || gain > best->gain))
        {
            best = proposal{move, gain};
        }
    }
    return best;
}

/// @return the engine of `service` in this data centre with the role and the
///         least work, or null when there is none
engine_state const *least_busy(world const &w, std::string const &service,
                               engine_role role)
{
    engine_state const *chosen = nullptr;
    auto const work = [](engine_state const &engine)
    { return engine.report ? engine.report->running : engine.local_requests; };
    for (auto const &engine : w.engines.all())
    {
        bool const eligible =
            engine.takes_work() && engine.role() == role &&
            engine.definition.service == service &&
            engine.definition.data_centre == w.identity.data_centre;
        if (eligible && (chosen == nullptr || work(engine) < work(*chosen)))
        {
            chosen = &engine;
        }
    }
    return chosen;
}

bool within_change_budget(world &w)
{
    auto &changes = w.plan.changes;
    while (!changes.empty() && w.now - changes.front() > hours(1))
    {
        changes.pop_front();
    }
    auto const budget =
        static_cast<std::size_t>(w.config.policy.role_changes_per_hour);
    return changes.size() < budget &&
           (changes.empty() || w.now - changes.back() >= min_change_interval);
}

void change_role(world &w, fleet const &state, role_move move)
{
    auto const *engine = least_busy(w, state.service, move.from);
    if (engine == nullptr)
    {
        return;
    }
    engine_order order;
    order.engine = engine->definition.name;
    order.kind = order_kind::change_role;
    order.role = move.to;
    if (w.hooks.order ? w.hooks.order(w, order) : request_order(w, order))
    {
        w.plan.changes.push_back(w.now);
        w.plan.consecutive_plans = 0;
    }
}

void plan_service(world &w, fleet const &state)
{
    auto const best = best_move(w, state);
    if (!best || best->move != w.plan.favoured)
    {
        w.plan.consecutive_plans = 0;
        w.plan.favoured = best ? best->move : role_move{};
    }
    if (!best || ++w.plan.consecutive_plans < min_consecutive_plans ||
        state.unavailable >= max_unavailable || !within_change_budget(w))
    {
        return;
    }
    change_role(w, state, best->move);
}

} // namespace

void plan_role_changes(world &w)
{
    if (w.hooks.plan_roles)
    {
        w.hooks.plan_roles(w);
        return;
    }
    count_arrivals(w);
    if (w.now < w.plan.next_plan)
    {
        return;
    }
    // Jitter keeps the lease holders of the data centres from acting at the
    // same time.
    auto const jitter = from_seconds(w.random.uniform());
    w.plan.next_plan = w.now + plan_interval + jitter;
    average_demand(w);
    if (!may_plan(w))
    {
        return;
    }
    for (auto const &[service, demand] : w.plan.demand)
    {
        plan_service(w, fleet_of(w, service, demand));
    }
}

} // namespace agateledge
