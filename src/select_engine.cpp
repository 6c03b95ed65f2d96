#include "select_engine.hpp"

#include "break_circuits.hpp"
#include "predict_engine.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Engines of one role that are compared for a request. All of a small fleet
/// are compared; a sample of this size bounds the cost in a large one and keeps
/// daemons with the same reports from choosing the same engine.
constexpr std::size_t sample_size = 12;

/// A prompt up to this length is not worth a transfer between engines.
constexpr int short_prompt_tokens = 96;

/// Weight of the time after the first token in the comparison of engines.
constexpr double finish_weight = 0.1;

/// Share of an uncertain prefix match that is counted.
constexpr double uncertain_share = 0.5;

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

bool fits(engine_state const &engine, request_state const &request)
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
           request.arrival.prompt_tokens <= short_prompt_tokens;
}

void sample(world &w, candidate_index::engines const &from,
            std::vector<candidate> &out)
{
    if (from.size() <= sample_size)
    {
        std::ranges::transform(from, std::back_inserter(out),
                               [](engine_index index) {
                                   return candidate{index, 0};
                               });
        return;
    }
    for (std::size_t i = 0; i < sample_size; ++i)
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
                            (match.certain ? 1.0 : uncertain_share);
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
    sample(w, w.candidates.of(service, engine_role::mixed), out);
    sample(w, w.candidates.of(service, engine_role::decode), out);
    sample(w, w.candidates.of(service, engine_role::prefill), out);
    return out;
}

/// Used when the fleet has no engine of the role that the phase needs.
std::vector<candidate> any_engine(world const &w, request_state const &request)
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
    auto const bound = to_seconds(request.kind.first_token_deadline);
    auto const late = bound > 0 ? std::max(0.0, first - bound) : 0.0;
    return first + late + finish_weight * (predicted.finish - first);
}

void compare(world const &w, request_state const &request,
             candidate const &offered, choice &best)
{
    if (!circuit_allows(w, request, offered.engine))
    {
        return;
    }
    auto const predicted =
        predict_engine(w, request, offered.engine, offered.cached_tokens);
    if (!predicted.room)
    {
        return;
    }
    auto const cost = cost_of(request, predicted);
    if (!best.engine || cost < best.cost)
    {
        best = {offered.engine, predicted, cost};
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
    bool any = false;
    for (auto const &offered : candidates_of(w, request))
    {
        if (offered.engine != request.avoid_engine &&
            fits(w.engines.at(offered.engine), request))
        {
            any = true;
            compare(w, request, offered, best);
        }
    }
    if (!any)
    {
        for (auto const &offered : any_engine(w, request))
        {
            compare(w, request, offered, best);
        }
    }
    if (best.engine && request.kv_key.empty())
    {
        w.prefixes.expect(*best.engine, request.arrival.prefix_hashes);
    }
    return best.engine;
}

} // namespace agateledge
