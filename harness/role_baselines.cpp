#include "role_baselines.hpp"

#include "world.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace agateledge
{

namespace
{

constexpr duration plan_interval = seconds(5);
/// Waiting prompt tokens and sequences that make the load of one engine 1.
constexpr double busy_prefill_tokens = 3000;
constexpr double busy_sequences = 55;

struct role_load
{
    int engines = 0;
    double load = 0;

    double mean() const { return engines > 0 ? load / engines : 0; }
};

role_load load_of(world const &w, engine_role role)
{
    role_load out;
    for (auto const &engine : w.engines.all())
    {
        if (!engine.takes_work() || engine.role() != role || !engine.report)
        {
            continue;
        }
        ++out.engines;
        auto const &report = *engine.report;
        out.load += role == engine_role::prefill
                        ? report.waiting_prefill_tokens / busy_prefill_tokens
                        : (report.running + report.waiting) / busy_sequences;
    }
    return out;
}

bool change_least_loaded(world &w, engine_role from, engine_role to)
{
    engine_state const *least_loaded = nullptr;
    for (auto const &engine : w.engines.all())
    {
        if (!engine.takes_work() || engine.role() != from || !engine.report)
        {
            continue;
        }
        if (least_loaded == nullptr ||
            engine.report->running < least_loaded->report->running)
        {
            least_loaded = &engine;
        }
    }
    if (least_loaded == nullptr)
    {
        return false;
    }
    engine_order order;
    order.engine = least_loaded->definition.name;
    order.role = to;
    return w.hooks.order(w, order);
}

/// @return a planner that runs `plan` every `plan_interval`
std::function<void(world &)> every_interval(std::function<void(world &)> plan)
{
    auto const next = std::make_shared<instant>();
    return [next, plan = std::move(plan)](world &w)
    {
        if (w.now >= *next)
        {
            *next = w.now + plan_interval;
            plan(w);
        }
    };
}

void plan_by_threshold(world &w)
{
    constexpr double high = 1.0;
    auto const prefill = load_of(w, engine_role::prefill);
    auto const decode = load_of(w, engine_role::decode);
    if (prefill.mean() > high && prefill.mean() > decode.mean() &&
        decode.engines > 1)
    {
        change_least_loaded(w, engine_role::decode, engine_role::prefill);
    }
    else if (decode.mean() > high && decode.mean() > prefill.mean() &&
             prefill.engines > 1)
    {
        change_least_loaded(w, engine_role::prefill, engine_role::decode);
    }
}

void plan_greedily(world &w)
{
    auto const prefill = load_of(w, engine_role::prefill);
    auto const decode = load_of(w, engine_role::decode);
    auto const sum = prefill.load + decode.load;
    auto const engines = prefill.engines + decode.engines;
    if (sum <= 0 || engines < 2)
    {
        return;
    }
    auto const wanted =
        std::clamp(static_cast<int>(std::lround(prefill.load / sum * engines)),
                   1, engines - 1);
    for (int i = prefill.engines; i < wanted; ++i)
    {
        change_least_loaded(w, engine_role::decode, engine_role::prefill);
    }
    for (int i = prefill.engines; i > wanted; --i)
    {
        change_least_loaded(w, engine_role::prefill, engine_role::decode);
    }
}

} // namespace

std::function<void(world &)> make_threshold_role_planner()
{
    return every_interval(plan_by_threshold);
}

std::function<void(world &)> make_greedy_role_planner()
{
    return every_interval(plan_greedily);
}

} // namespace agateledge
