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
/// Time over which the demand is averaged.
constexpr double demand_seconds = 15;
/// Plans in a row that must favour the same move.
constexpr int plans_for_change = 3;
constexpr duration change_spacing = seconds(8);
/// Engines that may be away at the same time, over all data centres.
constexpr int max_away = 2;
/// Time that an order takes an engine away, without the drain.
constexpr double order_seconds = 4;
/// Time that a drain takes: prompts end soon, answers run on.
constexpr double prefill_drain_seconds = 1;
constexpr double answer_drain_seconds = 15;

constexpr std::array<role_move, 6> moves = {{
    {engine_role::mixed, engine_role::prefill},
    {engine_role::mixed, engine_role::decode},
    {engine_role::prefill, engine_role::mixed},
    {engine_role::prefill, engine_role::decode},
    {engine_role::decode, engine_role::mixed},
    {engine_role::decode, engine_role::prefill},
}};

/// Fleet of a service as the plan sees it.
struct fleet
{
    std::string service;
    role_counts engines;
    role_rates rates;
    token_demand demand;
    double weight_per_second = 0;
    int away = 0;
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

int live_daemons(world const &w)
{
    return w.hooks.live_daemons > 0 ? w.hooks.live_daemons
                                    : std::max(1, w.peers.live_daemons);
}

bool may_plan(world const &w)
{
    auto const &place = w.identity.data_centre;
    return w.hooks.plans_for ? w.hooks.plans_for(w, place)
                             : holds_authority(w, place);
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
    auto const kept = std::exp(-passed / demand_seconds);
    auto const scale = passed > 0 ? (1 - kept) / passed : 0.0;
    for (auto &[service, demand] : w.plan.demand)
    {
        auto const mix = [&](double &mean, double &sum)
        {
            mean = kept * mean + scale * sum;
            sum = 0;
        };
        mix(demand.prompt_tokens_per_second, demand.prompt_tokens);
        mix(demand.output_tokens_per_second, demand.output_tokens);
        mix(demand.weight_per_second, demand.weight);
    }
}

double decode_rate(role_costs const &costs)
{
    auto const batch = costs.batch_limit;
    return batch / (costs.step_base + costs.step_slope * batch);
}

/// Learned rates where the role has been seen at work, the defaults elsewhere.
role_rates rates_of(world const &w, std::string const &service)
{
    constexpr int enough = 50;
    role_rates out;
    auto const &prefill = w.costs.role(service, engine_role::prefill);
    auto const &decode = w.costs.role(service, engine_role::decode);
    if (prefill.prefill_samples > enough)
    {
        out.prefill = prefill.prefill_rate;
    }
    if (decode.step_samples > enough)
    {
        out.decode = decode_rate(decode);
    }
    return out;
}

fleet describe(world const &w, std::string const &service,
               service_demand const &demand)
{
    fleet out;
    out.service = service;
    out.rates = rates_of(w, service);
    auto const daemons = live_daemons(w);
    out.demand = {demand.prompt_tokens_per_second * daemons,
                  demand.output_tokens_per_second * daemons};
    double hits = 0;
    double prompts = 0;
    out.weight_per_second = demand.weight_per_second * daemons;
    for (auto const &engine : w.engines.all())
    {
        if (engine.definition.service != service)
        {
            continue;
        }
        bool const away =
            engine.changing || (engine.report && !engine.report->ready);
        out.away += away ? 1 : 0;
        if (engine.takes_work() || away)
        {
            count_of(out.engines, engine.role()) += 1;
        }
        if (engine.role() != engine_role::decode)
        {
            hits += w.costs.engine(*w.engines.find(engine.definition.name))
                        .hit_share;
            prompts += 1;
        }
    }
    out.demand.prompt *= 1 - (prompts > 0 ? hits / prompts : 0.0);
    return out;
}

double gain_of(world const &w, fleet const &state, role_move move)
{
    auto const goodput = [&state](role_counts const &engines) {
        return expected_goodput(
            utilisation(engines, state.rates, state.demand));
    };
    auto absent = state.engines;
    count_of(absent, move.from) -= 1;
    auto changed = absent;
    count_of(changed, move.to) += 1;
    auto const present = goodput(state.engines);
    auto const horizon = to_seconds(w.config.policy.role_horizon);
    auto const drained = move.from == engine_role::prefill
                             ? prefill_drain_seconds
                             : answer_drain_seconds;
    auto const away = order_seconds + drained;
    auto const gained = (goodput(changed) - present) * (horizon - away);
    auto const lost = std::max(0.0, present - goodput(absent)) * away;
    return (gained - lost) * state.weight_per_second;
}

std::optional<proposal> best_move(world const &w, fleet const &state)
{
    std::optional<proposal> best;
    for (auto const &move : moves)
    {
        auto engines = state.engines;
        // The last engine of a kind stays.
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

/// @return the engine of this data centre with the role and the least work
engine_state const *least_busy(world const &w, std::string const &service,
                               engine_role role)
{
    engine_state const *least = nullptr;
    auto const work = [](engine_state const &engine)
    { return engine.report ? engine.report->running : engine.own_requests; };
    for (auto const &engine : w.engines.all())
    {
        bool const fits =
            engine.takes_work() && engine.role() == role &&
            engine.definition.service == service &&
            engine.definition.data_centre == w.identity.data_centre;
        if (fits && (least == nullptr || work(engine) < work(*least)))
        {
            least = &engine;
        }
    }
    return least;
}

bool within_budget(world &w)
{
    auto &changes = w.plan.changes;
    while (!changes.empty() && w.now - changes.front() > hours(1))
    {
        changes.pop_front();
    }
    auto const budget =
        static_cast<std::size_t>(w.config.policy.role_changes_per_hour);
    return changes.size() < budget &&
           (changes.empty() || w.now - changes.back() >= change_spacing);
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
        w.plan.times_favoured = 0;
    }
}

void plan_service(world &w, fleet const &state)
{
    auto const best = best_move(w, state);
    if (!best || best->move != w.plan.favoured)
    {
        w.plan.times_favoured = 0;
        w.plan.favoured = best ? best->move : role_move{};
    }
    if (!best || ++w.plan.times_favoured < plans_for_change ||
        state.away >= max_away || !within_budget(w))
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
    // A random part keeps the lease holders from acting at the same moment.
    auto const jitter = from_seconds(w.random.uniform());
    w.plan.next_plan = w.now + plan_interval + jitter;
    average_demand(w);
    if (!may_plan(w))
    {
        return;
    }
    for (auto const &[service, demand] : w.plan.demand)
    {
        plan_service(w, describe(w, service, demand));
    }
}

} // namespace agateledge
