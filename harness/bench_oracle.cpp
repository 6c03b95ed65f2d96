#include "bench_oracle.hpp"

#include <algorithm>
#include <cmath>
#include <future>
#include <limits>
#include <vector>

namespace agateledge
{

namespace
{

/// How the engines' roles are set during a run.
struct oracle_plan
{
    std::string name;
    /// Ratio of the share of prefill engines to the share of prefill in the
    /// work; 0 keeps the initial roles.
    double scale = 0;
    /// Initial share of mixed engines.
    double mixed = 0;
    /// Share of prefill in the work for which the initial roles are set.
    double initial_share = 0;
};

/// Engines with a longer prefill backlog get no further prompt, so that
/// requests wait in the daemon's queue, which orders them.
constexpr double max_backlog_seconds = 0.3;
/// Prompt tokens per second of a prefill engine at normal speed.
constexpr double prefill_rate = 8560;
/// Roles are set for the mix that the scenario has after this time.
constexpr double plan_lead_seconds = 12;

struct engine_snapshot
{
    engine_index index;
    standin_engine const *model = nullptr;
    load_report load;
};

double step_seconds(standin_engine_options const &options, int sequences)
{
    auto const step = options.step_base + options.step_per_sequence * sequences;
    return to_seconds(step) / options.speed;
}

/// @return seconds until the engine ends the request, or only its prefill on a
///         prefill engine; the maximum value if the engine can't admit it
double predict(bench_run const &run, request_state const &request,
               engine_snapshot const &state)
{
    constexpr auto none = std::numeric_limits<double>::max();
    auto const &options = state.model->options();
    auto const &load = state.load;
    auto const sequences = load.running + load.waiting;
    auto const &arrival = request.arrival;
    double const output = run.output_tokens(arrival.seed);
    if (!request.kv_key.empty())
    {
        auto const limit = options.role == engine_role::decode
                               ? options.decode_max_batch
                               : options.max_batch;
        bool const fits =
            load.kv_tokens_used + arrival.prompt_tokens + output <=
            options.kv_capacity_tokens;
        return sequences < limit && fits
                   ? output * step_seconds(options, sequences + 1)
                   : none;
    }
    double const rate = prefill_rate * options.speed *
                        (options.role == engine_role::prefill ? 1.0 : 0.75);
    double const backlog = load.waiting_prefill_tokens / rate;
    bool const full =
        options.role == engine_role::mixed && sequences >= options.max_batch;
    if (backlog > max_backlog_seconds || full)
    {
        return none;
    }
    auto const uncached_tokens =
        arrival.prompt_tokens -
        state.model->cached_prefix_tokens(arrival.prefix_hashes,
                                          arrival.prefix_block_tokens);
    double const first = backlog + uncached_tokens / rate;
    return options.role == engine_role::prefill
               ? first
               : first + output * step_seconds(options, sequences + 1);
}

std::optional<engine_index> select_by_engine_state(bench_run &run, world &w,
                                                   request_state const &request)
{
    std::optional<engine_index> best;
    double best_time = std::numeric_limits<double>::max();
    auto const unfit =
        request.kv_key.empty() ? engine_role::decode : engine_role::prefill;
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        auto const &engine = w.engines.all()[i];
        auto const &actual =
            run.deployment().engines().at(engine.definition.name);
        if (!engine.takes_work() || engine.role() == unfit || !actual.reachable)
        {
            continue;
        }
        auto const time = predict(
            run, request,
            {engine_index(i), actual.model.get(), actual.model->load()});
        if (time < best_time)
        {
            best_time = time;
            best = engine_index(i);
        }
    }
    return best;
}

int count_role(world const &w, engine_role role)
{
    return static_cast<int>(std::ranges::count_if(
        w.engines.all(),
        [role](engine_state const &engine) { return engine.role() == role; }));
}

void apply_plan(bench_run &run, world &w, oracle_plan const &plan)
{
    auto const second = to_seconds(w.now.time_since_epoch());
    auto const share = run.scenario().prompt_share(second + plan_lead_seconds);
    auto const engines = static_cast<int>(w.engines.all().size());
    auto const wanted =
        std::clamp(static_cast<int>(std::lround(plan.scale * share * engines)),
                   1, engines - 1);
    auto const present = count_role(w, engine_role::prefill);
    bool const changing =
        std::ranges::any_of(w.engines.all(), [](engine_state const &engine)
                            { return engine.changing; });
    if (changing || wanted == present)
    {
        return;
    }
    auto const from =
        wanted > present ? engine_role::decode : engine_role::prefill;
    auto const to =
        wanted > present ? engine_role::prefill : engine_role::decode;
    engine_state const *least_loaded = nullptr;
    for (auto const &engine : w.engines.all())
    {
        bool const fits = engine.role() == from && engine.report;
        if (fits && (least_loaded == nullptr ||
                     engine.report->running < least_loaded->report->running))
        {
            least_loaded = &engine;
        }
    }
    if (least_loaded != nullptr)
    {
        engine_order order;
        order.engine = least_loaded->definition.name;
        order.role = to;
        w.hooks.order(w, order);
    }
}

bench_score run_plan(workload load, bench_scenario scenario, std::uint64_t seed,
                     oracle_plan const &plan)
{
    auto const engines = static_cast<double>(load.config.engines.size());
    auto const mixed = static_cast<int>(plan.mixed * engines);
    auto const prefill = static_cast<int>(
        std::lround(plan.initial_share * (plan.scale > 0 ? plan.scale : 1.0) *
                    (engines - mixed)));
    assign_roles(load.config, prefill, mixed);
    scenario.report_lag = milliseconds(1);
    bench_run run(load, scenario, seed);
    for (auto &daemon : run.deployment().daemons())
    {
        auto &hooks = daemon.state->hooks;
        hooks.select = [&run](world &w, request_state const &request)
        { return select_by_engine_state(run, w, request); };
        hooks.plan_roles = [](world &) {};
    }
    if (plan.scale > 0)
    {
        run.deployment().daemons().front().state->hooks.plan_roles =
            [&run, plan](world &w) { apply_plan(run, w, plan); };
    }
    return run.run();
}

} // namespace

bench_score run_oracle(workload const &load, bench_scenario const &scenario,
                       std::uint64_t seed)
{
    auto const begin = scenario.prompt_share(0);
    auto const middle =
        scenario.prompt_share(to_seconds(scenario.length) * 0.5);
    std::vector<oracle_plan> const plans = {
        {"all mixed", 0, 1.0, 0},
        {"static", 0, 0, (begin + middle) / 2},
        {"follow 0.8", 0.8, 0, begin},
        {"follow 1.0", 1.0, 0, begin},
        {"follow 1.2", 1.2, 0, begin},
        {"half mixed", 0, 0.5, (begin + middle) / 2}};
    bench_score best;
    std::map<std::string, double> goodput_of_plan;
    constexpr std::size_t max_concurrent_runs = 3;
    for (std::size_t i = 0; i < plans.size(); i += max_concurrent_runs)
    {
        std::vector<std::future<bench_score>> running;
        for (auto j = i; j < std::min(i + max_concurrent_runs, plans.size());
             ++j)
        {
            running.push_back(std::async(std::launch::async, run_plan, load,
                                         scenario, seed, plans[j]));
        }
        std::size_t k = 0;
        for (auto &item : running)
        {
            auto score = item.get();
            goodput_of_plan[plans.at(i + k++).name] = score.goodput;
            if (score.goodput > best.goodput)
            {
                best = std::move(score);
            }
        }
    }
    best.plans = std::move(goodput_of_plan);
    return best;
}

} // namespace agateledge
