#include "bench_policies.hpp"

#include "role_baselines.hpp"

#include <algorithm>
#include <limits>
#include <memory>
#include <stdexcept>

namespace agateledge
{

namespace
{

using engines = std::vector<engine_index>;

/// @return engines that admit work and whose role suits the request's phase
///         (prefill or decode); if there are none with such a role, the engines
///         of the other role
engines eligible(world &w, request_state const &request)
{
    auto const &service = request.kind.service;
    auto const special =
        request.kv_key.empty() ? engine_role::prefill : engine_role::decode;
    auto const other =
        request.kv_key.empty() ? engine_role::decode : engine_role::prefill;
    engines out = w.candidates.of(service, special);
    auto const &mixed = w.candidates.of(service, engine_role::mixed);
    out.insert(out.end(), mixed.begin(), mixed.end());
    if (out.empty())
    {
        out = w.candidates.of(service, other);
    }
    std::erase_if(out, [&w](engine_index index)
                  { return !w.engines.at(index).takes_work(); });
    return out;
}

template <class Load>
std::optional<engine_index> least_loaded(world &w, engines const &among,
                                         Load load)
{
    std::optional<engine_index> best;
    double best_load = std::numeric_limits<double>::max();
    // A random starting index breaks ties without bias towards low indexes.
    auto const start = among.empty() ? 0 : w.random.below(among.size());
    for (std::size_t i = 0; i < among.size(); ++i)
    {
        auto const index = among[(start + i) % among.size()];
        double const value = load(w.engines.at(index));
        if (value < best_load)
        {
            best_load = value;
            best = index;
        }
    }
    return best;
}

double in_flight(engine_state const &engine)
{
    return engine.local_requests;
}

double reported_load(engine_state const &engine)
{
    return engine.report ? engine.report->running + engine.report->waiting : 0;
}

std::optional<engine_index> pick_random(world &w, request_state const &request)
{
    auto const among = eligible(w, request);
    if (among.empty())
    {
        return std::nullopt;
    }
    return among[w.random.below(among.size())];
}

std::optional<engine_index> pick_least_in_flight(world &w,
                                                 request_state const &request)
{
    return least_loaded(w, eligible(w, request), in_flight);
}

std::optional<engine_index> pick_least_reported(world &w,
                                                request_state const &request)
{
    return least_loaded(w, eligible(w, request), reported_load);
}

std::optional<engine_index> pick_two_choices(world &w,
                                             request_state const &request)
{
    auto const first = pick_random(w, request);
    auto const second = pick_random(w, request);
    if (!first || !second)
    {
        return first;
    }
    return least_loaded(w, {*first, *second}, in_flight);
}

/// Rendezvous hashing of the first prefix block, restricted to engines whose
/// requests in flight don't far exceed the mean.
std::optional<engine_index> pick_by_prefix(world &w,
                                           request_state const &request)
{
    auto const &prefix = request.arrival.prefix_hashes;
    if (prefix.empty() || !request.kv_key.empty())
    {
        return pick_least_in_flight(w, request);
    }
    auto const among = eligible(w, request);
    double sum = 0;
    for (auto const index : among)
    {
        sum += in_flight(w.engines.at(index));
    }
    auto const mean =
        sum / static_cast<double>(std::max<std::size_t>(1, among.size()));
    constexpr double load_bound = 1.25;
    std::optional<engine_index> best;
    std::uint64_t best_hash = 0;
    for (auto const index : among)
    {
        random_source hash(prefix.front() ^ (index.value() * 0x9e3779b9ULL));
        auto const value = hash();
        bool const fits =
            in_flight(w.engines.at(index)) <= load_bound * mean + 1;
        if (fits && value >= best_hash)
        {
            best_hash = value;
            best = index;
        }
    }
    return best;
}

std::function<std::optional<engine_index>(world &, request_state const &)>
make_round_robin()
{
    auto const next = std::make_shared<std::uint64_t>(0);
    return [next](world &w,
                  request_state const &request) -> std::optional<engine_index>
    {
        auto const among = eligible(w, request);
        if (among.empty())
        {
            return std::nullopt;
        }
        return among[(*next)++ % among.size()];
    };
}

using selector =
    std::function<std::optional<engine_index>(world &, request_state const &)>;

selector baseline_selector(std::string const &policy)
{
    if (policy == "random")
    {
        return pick_random;
    }
    if (policy == "round_robin")
    {
        return make_round_robin();
    }
    if (policy == "least_in_flight")
    {
        return pick_least_in_flight;
    }
    if (policy == "least_reported_load")
    {
        return pick_least_reported;
    }
    if (policy == "two_choices")
    {
        return pick_two_choices;
    }
    if (policy == "prefix_affinity")
    {
        return pick_by_prefix;
    }
    return {};
}

void install_baseline_selector(bench_run &run, std::string const &policy)
{
    for (auto &daemon : run.deployment().daemons())
    {
        auto &hooks = daemon.state->hooks;
        hooks.select = baseline_selector(policy);
        hooks.plan_roles = [](world &) {};
        hooks.fifo_queue = true;
    }
}

/// Makes the first daemon of each data centre the planner of that data centre,
/// in place of the lease table.
void assign_leases(bench_run &run)
{
    std::map<std::string, std::string> holders;
    for (auto &daemon : run.deployment().daemons())
    {
        auto const &self = daemon.state->identity;
        holders.emplace(self.data_centre, self.name);
    }
    for (auto &daemon : run.deployment().daemons())
    {
        daemon.state->hooks.may_plan_for =
            [holders](world const &w, std::string const &data_centre)
        {
            auto const found = holders.find(data_centre);
            return found != holders.end() && found->second == w.identity.name;
        };
    }
}

} // namespace

std::vector<std::string> policy_names()
{
    return {"product",
            "random",
            "round_robin",
            "least_in_flight",
            "least_reported_load",
            "two_choices",
            "prefix_affinity",
            "static_roles",
            "threshold_roles",
            "greedy_roles",
            "oracle"};
}

void install_policy(bench_run &run, std::string const &policy)
{
    auto const names = policy_names();
    if (std::ranges::find(names, policy) == names.end())
    {
        throw std::invalid_argument("no policy \"" + policy + "\"");
    }
    if (baseline_selector(policy))
    {
        install_baseline_selector(run, policy);
        return;
    }
    if (policy == "product")
    {
        assign_leases(run);
        return;
    }
    for (auto &daemon : run.deployment().daemons())
    {
        daemon.state->hooks.plan_roles = [](world &) {};
    }
    auto &first = run.deployment().daemons().front().state->hooks;
    if (policy == "threshold_roles")
    {
        first.plan_roles = make_threshold_role_planner();
    }
    if (policy == "greedy_roles")
    {
        first.plan_roles = make_greedy_role_planner();
    }
}

} // namespace agateledge
