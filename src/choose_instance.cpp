#include "choose_instance.hpp"

#include "available_from.hpp"
#include "poll_caches.hpp"
#include "predict_event_gap.hpp"
#include "reported_load.hpp"
#include "world.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <vector>

namespace agateledge
{

namespace
{

/// Time added by handing a KV cache to a decode engine: the set-up of two more
/// calls and the transfer of the cache of a long prompt.
constexpr duration handover_time = milliseconds(35);

/// Cost per place in the ranking for a prompt's shared parts. It makes daemons
/// that know of no engine with these parts choose the same one.
constexpr duration rank_cost = milliseconds(3);
/// Upper limit of the rank in the cost; lower-ranked engines cost the same.
constexpr int max_rank = 8;

/// Cost of sending to another data centre: the round trip of the request and
/// its answer, and the transfer between data centres.
constexpr duration remote_cost = milliseconds(4);

/// Cost of a token that is copied from another engine, in seconds, in addition
/// to the copy time: it evicts other parts from the engine's cache.
constexpr double copied_token_cost_s = 40e-6;

/// Open requests at one engine, over all daemons, at which long prompts are
/// held back in the daemon. An engine processes prompts one after the other, so
/// a short urgent prompt would wait for all long ones sent before it.
constexpr double max_requests_per_engine = 8;

/// Prompts with fewer uncached tokens are sent regardless of the limit.
constexpr int short_prompt_tokens = 2000;

/// Number of top-ranked engines that are assumed to cache a shared part when
/// engine caches are not tracked. Two engines spread the load of a popular
/// part; the engines of the known deployments have room for three copies of
/// each part.
constexpr int cached_copies_per_part = 2;

/// Number of top-ranked engines compared for one prompt when engine caches are
/// not tracked. It covers the copies of the most popular part at 320 engines
/// and keeps the cost of a choice independent of the number of engines.
constexpr int max_ranked_candidates = 16;

/// Rendezvous weight of an engine in prefill role relative to one in decode
/// role, which prefills at half the speed.
constexpr double prefill_rank_weight = 2;

struct candidate
{
    instance_state const *instance = nullptr;
    first_event_prediction prediction;
    duration cost{};
    /// Place in the ranking for the prompt's shared parts, from 0.
    int order = 0;
    /// `order` limited to `max_rank`, for the cost.
    int rank = 0;
    /// Prefilling the prompt on the engine would delay the events of its
    /// streams beyond their maximum gap.
    bool delays_streams = false;
};

double rank_score(std::uint64_t key, instance_state const &instance)
{
    auto const &definition = instance.definition;
    auto const weight =
        definition.role == engine_role::prefill ? prefill_rank_weight : 1.0;
    return prompt_rank_score(key, definition.id, weight);
}

bool is_eligible(world const &w, proxy_request_state const &request,
                 instance_state const &instance)
{
    bool const decoding = request.retained_prefill || request.prefilled ||
                          request.prefill_failed ||
                          !request.last_event.empty() ||
                          request.content->prompt == std::nullopt;
    bool const role_fits =
        instance.definition.role != engine_role::prefill || !decoding;
    return role_fits && available_from(w, instance) <= w.now;
}

/// Eligible instances. Instances that the request was already sent to are
/// returned only when there are no others; ejected ones, leaving ones and those
/// that asked for a pause are never eligible.
std::vector<candidate> eligible_candidates(world const &w,
                                           proxy_request_state const &request)
{
    auto const &instances = w.proxy.instances.of_service(request.service);
    std::vector<candidate> untried;
    std::vector<candidate> retried;
    for (auto const *instance : instances)
    {
        if (!is_eligible(w, request, *instance))
        {
            continue;
        }
        auto const &tried = request.tried_instances;
        bool const already_tried =
            std::ranges::find(tried, instance->definition.id) != tried.end();
        (already_tried ? retried : untried).push_back({instance, {}, {}, 0, 0});
    }
    return untried.empty() ? retried : untried;
}

void rank_candidates(proxy_request_state const &request,
                     std::vector<candidate> &candidates)
{
    if (request.chain.empty())
    {
        return;
    }
    auto const key = request.chain.back().hash;
    std::vector<std::pair<double, candidate *>> scores;
    std::ranges::transform(
        candidates, std::back_inserter(scores),
        [key](candidate &item)
        { return std::pair(rank_score(key, *item.instance), &item); });
    std::ranges::sort(scores, {}, &std::pair<double, candidate *>::first);
    int order = 0;
    for (auto const &[score, item] : scores)
    {
        item->order = order++;
        item->rank = std::min(item->order, max_rank);
    }
}

/// @return data centre in which the prompt is decoded: that of the engine that
///         prefilled it, because a transfer between data centres takes twice
///         as long; the daemon's own before the prefill
std::string const &handover_data_centre(world const &w,
                                        proxy_request_state const &request)
{
    auto const *reader =
        request.retained_prefill
            ? w.proxy.instances.find(request.retained_prefill->instance)
            : nullptr;
    return reader == nullptr ? w.identity.data_centre
                             : reader->definition.data_centre;
}

/// Limits the candidates to the top-ranked engines, for a hand-over to those of
/// the data centre that holds the KV cache. Without this limit the cost of each
/// choice grows with the number of engines, which matters at hundreds of them.
void limit_candidates(world const &w, proxy_request_state const &request,
                      std::vector<candidate> &candidates)
{
    if (polls_caches(w) || request.chain.empty() ||
        candidates.size() <= static_cast<std::size_t>(max_ranked_candidates))
    {
        return;
    }
    if (request.retained_prefill)
    {
        auto const &near = handover_data_centre(w, request);
        auto const is_near = [&near](candidate const &item)
        { return item.instance->definition.data_centre == near; };
        if (std::ranges::any_of(candidates, is_near))
        {
            std::erase_if(candidates, std::not_fn(is_near));
        }
    }
    std::ranges::sort(candidates, {}, &candidate::order);
    if (candidates.size() > static_cast<std::size_t>(max_ranked_candidates))
    {
        candidates.resize(max_ranked_candidates);
    }
}

/// @return predicted time until an engine continues a prompt that another one
///         has prefilled
duration handover_cost(candidate const &item)
{
    return item.prediction.wait + handover_time;
}

/// @return minimum hand-over cost over the engines that decode;
///         `duration::max()` when there is none
duration min_handover_cost(std::vector<candidate> const &candidates)
{
    duration least = duration::max();
    for (auto const &item : candidates)
    {
        if (item.instance->definition.role != engine_role::prefill)
        {
            least = std::min(least, handover_cost(item));
        }
    }
    return least;
}

/// Engine whose cache others can copy a prompt's shared parts from.
struct prefix_source
{
    instance_state const *instance = nullptr;
    /// Leading tokens of the prompt that are known to be in its cache.
    int tokens = 0;
    instant used_at{};
};

/// @return the engine with the most leading shared tokens in its cache; of
///         several, the one that used them last, because engine caches evict
///         the least recently used parts first; none when no engine is known to
///         cache any
prefix_source find_prefix_source(proxy_request_state const &request,
                                 std::vector<candidate> const &candidates,
                                 instance_state const *except)
{
    prefix_source best;
    for (auto const &item : candidates)
    {
        auto const &cache = item.instance->cache;
        prefix_source const found{
            item.instance, cache.copyable_tokens(request.chain),
            request.chain.empty() ? instant{}
                                  : cache.last_used_at(request.chain.back())};
        bool const better = std::pair(found.tokens, found.used_at) >
                            std::pair(best.tokens, best.used_at);
        if (item.instance != except && better)
        {
            best = found;
        }
    }
    return best;
}

/// @return the top-ranked engine for the shared parts, which is assumed to
///         cache them; none when the request has no shared parts
prefix_source assumed_prefix_source(proxy_request_state const &request,
                                    std::vector<candidate> const &candidates)
{
    if (request.chain.empty())
    {
        return {};
    }
    auto const first = std::ranges::find(candidates, 0, &candidate::rank);
    return first == candidates.end()
               ? prefix_source{}
               : prefix_source{first->instance, request.chain.back().tokens,
                               instant{}};
}

/// Counts the shared parts as cached on their top-ranked engines when engine
/// caches are not tracked.
void assume_cached_parts(world const &w, proxy_request_state const &request,
                         candidate &item)
{
    if (polls_caches(w) || request.chain.empty() ||
        item.rank >= cached_copies_per_part)
    {
        return;
    }
    auto &prediction = item.prediction;
    prediction.time -=
        prefix_copy_time(w, request.service, prediction.copied_tokens);
    prediction.cached_tokens += prediction.copied_tokens;
    prediction.copied_tokens = 0;
}

void set_cost(world &w, proxy_request_state const &request,
              prefix_source const &source, candidate &item)
{
    item.prediction =
        predict_first_event(w, request, *item.instance, source.tokens);
    assume_cached_parts(w, request, item);
    auto &prediction = item.prediction;
    if (request.retained_prefill)
    {
        prediction.unread_tokens = 0;
        prediction.time = handover_cost(item);
    }
    item.cost = prediction.time +
                from_seconds(copied_token_cost_s * prediction.copied_tokens) +
                rank_cost * item.rank;
    if (!request.retained_prefill && request.content->prompt)
    {
        item.cost += pause_cost(w, *item.instance, prediction.unread_tokens);
        item.delays_streams =
            delays_streams(w, *item.instance, prediction.unread_tokens);
    }
    if (item.instance->definition.data_centre != w.identity.data_centre)
    {
        item.cost += remote_cost;
    }
    // Random jitter: daemons that see the same state must not all choose the
    // same instance.
    item.cost += from_seconds(to_seconds(rank_cost) * w.random.uniform());
}

/// @return true when the engine is at its concurrency limit; always false for
///         short prompts
bool is_full(world const &w, instance_state const &instance,
             first_event_prediction const &prediction)
{
    if (prediction.unread_tokens < short_prompt_tokens)
    {
        return false;
    }
    auto const local = static_cast<double>(instance.open_calls.size());
    if (!w.proxy.load.received_reports.empty())
    {
        return local + static_cast<double>(instance.peer_open_calls) >=
               max_requests_per_engine;
    }
    return local >=
           std::ceil(max_requests_per_engine / w.proxy.effective_fleet_size());
}

/// @return address of the engine from which the chosen one copies the shared
///         parts that it does not cache: the engine found by
///         `find_prefix_source`, or else the top-ranked one, to which other
///         daemons may have sent them; empty for none
std::string
choose_prefix_source_address(proxy_request_state const &request,
                             std::vector<candidate> const &candidates,
                             instance_state const &chosen)
{
    if (request.chain.empty())
    {
        return {};
    }
    auto const source = find_prefix_source(request, candidates, &chosen);
    if (source.instance != nullptr)
    {
        return source.instance->definition.address;
    }
    auto const first = std::ranges::find(candidates, 0, &candidate::rank);
    bool const elsewhere =
        first != candidates.end() && first->instance != &chosen;
    return elsewhere ? first->instance->definition.address : std::string();
}

} // namespace

std::optional<instance_choice>
choose_instance(world &w, proxy_request_state const &request)
{
    auto candidates = eligible_candidates(w, request);
    rank_candidates(request, candidates);
    limit_candidates(w, request, candidates);
    auto const source = polls_caches(w)
                            ? find_prefix_source(request, candidates, nullptr)
                            : assumed_prefix_source(request, candidates);
    std::ranges::for_each(candidates, [&](candidate &item)
                          { set_cost(w, request, source, item); });
    auto const handover = min_handover_cost(candidates);
    for (auto &item : candidates)
    {
        if (item.instance->definition.role == engine_role::prefill)
        {
            item.cost =
                handover == duration::max() ? handover : item.cost + handover;
        }
    }
    std::ranges::sort(candidates, {},
                      [](candidate const &item)
                      {
                          return std::tuple(item.cost == duration::max(),
                                            item.delays_streams, item.cost);
                      });
    if (candidates.empty() || candidates.front().cost == duration::max())
    {
        return std::nullopt;
    }
    auto const &best = candidates.front();
    instance_choice out;
    out.full = is_full(w, *best.instance, best.prediction);
    out.instance = best.instance->definition.id;
    bool const prefill = best.instance->definition.role == engine_role::prefill;
    out.stage = prefill ? proxy_stage::prefill : proxy_stage::run;
    out.prediction = best.prediction;
    if (prefill)
    {
        out.prediction.time += handover;
    }
    if (!request.retained_prefill)
    {
        out.prefix_source_address =
            choose_prefix_source_address(request, candidates, *best.instance);
    }
    out.candidates = static_cast<int>(candidates.size());
    out.runner_up = candidates.size() > 1 ? candidates[1].cost : duration(0);
    return out;
}

} // namespace agateledge
