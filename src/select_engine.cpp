#include "select_engine.hpp"

#include "predict_engine.hpp"
#include "update_circuits.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Maximum number of engines per role that are compared for a request. A larger
/// fleet is sampled at random, which bounds the cost and keeps daemons that
/// hold the same reports from all choosing the same engine.
constexpr std::size_t max_sample_size = 12;

/// Longest prompt that a decode engine computes itself; for shorter prompts a
/// KV cache transfer from a prefill engine is not worthwhile.
constexpr int max_decode_prompt_tokens = 96;

/// Weight of the predicted time after the first token in an engine's cost.
constexpr double finish_weight = 0.1;

/// Fraction of an uncertain prefix match that is counted as cached.
constexpr double uncertain_match_share = 0.5;

struct candidate
{
    engine_index engine;
    double cached_tokens = 0;
};

struct choice
{
    std::optional<engine_index> engine;
    engine_prediction predicted;
    double cost = 0;
};

bool can_serve(engine_state const &engine, request_state const &request)
{
    if (!engine.takes_work() ||
        engine.definition.service != request.kind.service)
    {
        return false;
    }
    if (!request.kv_key.empty())
    {
        return engine.role() != engine_role::prefill;
    }
    return engine.role() != engine_role::decode ||
           request.arrival.prompt_tokens <= max_decode_prompt_tokens;
}

void add_sample(world &w, candidate_index::engines const &from,
                std::vector<candidate> &out)
{
    if (from.size() <= max_sample_size)
    {
        std::ranges::transform(from, std::back_inserter(out),
                               [](engine_index index) {
                                   return candidate{index, 0};
                               });
        return;
    }
    for (std::size_t i = 0; i < max_sample_size; ++i)
    {
        out.push_back({from[w.random.below(from.size())], 0});
    }
}

void add_prefix_holders(world const &w, request_state const &request,
                        std::vector<candidate> &out)
{
    auto const &arrival = request.arrival;
    for (auto const &match : w.prefixes.longest(arrival.prefix_hashes))
    {
        auto const tokens = match.blocks * arrival.prefix_block_tokens *
                            (match.certain ? 1.0 : uncertain_match_share);
        out.push_back({match.engine, tokens});
    }
}

std::vector<candidate> candidates_of(world &w, request_state const &request)
{
    auto const &service = request.kind.service;
    std::vector<candidate> out;
    if (request.kv_key.empty())
    {
        add_prefix_holders(w, request, out);
    }
    add_sample(w, w.candidates.of(service, engine_role::mixed), out);
    add_sample(w, w.candidates.of(service, engine_role::decode), out);
    add_sample(w, w.candidates.of(service, engine_role::prefill), out);
    return out;
}

/// Fallback when no engine with a role that suits the request's phase takes
/// work.
std::vector<candidate> engines_of_any_role(world const &w,
                                           request_state const &request)
{
    std::vector<candidate> out;
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        auto const &engine = w.engines.all()[i];
        if (engine.takes_work() &&
            engine.definition.service == request.kind.service)
        {
            out.push_back({engine_index(i), 0});
        }
    }
    return out;
}

double cost_of(request_state const &request, engine_prediction const &predicted)
{
    auto const first = predicted.first_token;
    auto const deadline = to_seconds(request.kind.first_token_deadline);
    auto const lateness = deadline > 0 ? std::max(0.0, first - deadline) : 0.0;
    return first + lateness + finish_weight * (predicted.finish - first);
}

void update_choice(world const &w, request_state const &request,
                   candidate const &option, choice &best)
{
    if (!circuit_allows(w, request, option.engine))
    {
        return;
    }
    auto const predicted =
        predict_engine(w, request, option.engine, option.cached_tokens);
    if (!predicted.has_capacity)
    {
        return;
    }
    auto const cost = cost_of(request, predicted);
    if (!best.engine || cost < best.cost)
    {
        best = {option.engine, predicted, cost};
    }
}

} // namespace

std::optional<engine_index> select_engine(world &w,
                                          request_state const &request)
{
    if (w.hooks.select)
    {
        return w.hooks.select(w, request);
    }
    choice best;
    bool any_suitable = false;
    for (auto const &option : candidates_of(w, request))
    {
        if (option.engine != request.avoid_engine &&
            can_serve(w.engines.at(option.engine), request))
        {
            any_suitable = true;
            update_choice(w, request, option, best);
        }
    }
    if (!any_suitable)
    {
        for (auto const &option : engines_of_any_role(w, request))
        {
            update_choice(w, request, option, best);
        }
    }
    if (best.engine && request.kv_key.empty())
    {
        w.prefixes.add_expected(*best.engine, request.arrival.prefix_hashes);
    }
    return best.engine;
}

} // namespace agateledge
