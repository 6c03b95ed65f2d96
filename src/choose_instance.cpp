#include "choose_instance.hpp"

#include "follow_caches.hpp"
#include "predict_pause.hpp"
#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

namespace agateledge
{

namespace
{

/// Time that the transfer of a KV cache to a decode engine adds: two more
/// calls' set-up and the transfer of a long prompt.
constexpr duration handover_time = milliseconds(35);

/// Cost of a place further down the ranking for a prompt's shared parts, so
/// that daemons that know of no engine that holds them choose the same one.
constexpr duration rank_cost = milliseconds(3);
/// Ranks beyond this one cost the same.
constexpr int last_rank = 8;

/// Cost of sending to another data centre: the round trip of the request and
/// of its answer, and the bytes between data centres.
constexpr duration remote_cost = milliseconds(4);

/// Cost of a token that is copied from another engine, in seconds, beside the
/// time of the copy: it displaces other parts from the engine's cache.
constexpr double copied_token_cost_s = 40e-6;

/// Requests at one engine, over all daemons, from which on long prompts wait at
/// the daemon. An engine reads one prompt after the other, and a short urgent
/// prompt that arrives behind long ones waits for them.
constexpr double requests_at_once = 8;

/// Prompts with fewer tokens to read never wait for others.
constexpr int short_prompt_tokens = 2000;

/// Part of the engines in decode role that receive the KV caches of prompts
/// that were read elsewhere. They read no prompts while others can, because a
/// request that was handed over waits behind the prompts that are read there.
constexpr double receiving_share = 0.25;

/// Cost of handing a KV cache to an engine that reads prompts.
constexpr duration off_receiver_cost = milliseconds(60);

/// Cost of reading a prompt on a receiving engine, as a part of the time that
/// the engine reads.
constexpr double receiver_reading_cost = 1.3;

/// Engines that are assumed to hold a shared part where caches are not
/// followed: the first ones in its ranking. Two share the load of a popular
/// part; the engines of the known deployments have room for three copies of
/// each part.
constexpr int homes_per_part = 2;

/// Engines that are compared for one prompt in a fleet where shared parts have
/// homes: those that rank first for its parts. Enough for the copies of the
/// most popular part at 320 engines; the cost of a choice does not grow with
/// them.
constexpr int most_ranked = 16;

/// An engine in decode role reads at half the speed of one in prefill role and
/// ranks first for half as many parts.
constexpr double prefill_rank_weight = 2;

/// @return true for an engine in decode role that takes new work
bool decodes(instance_state const *instance)
{
    auto const &definition = instance->definition;
    return definition.role == engine_role::decode && definition.accepts_work;
}

struct candidate
{
    instance_state const *instance = nullptr;
    first_event_prediction prediction;
    duration cost{};
    /// Place in the ranking for the prompt's shared parts.
    int order = 0;
    /// The same, as far as it counts as a cost.
    int rank = 0;
    /// The engine receives the KV caches of prompts that were read elsewhere.
    bool receives = false;
};

/// @return number of engines that receive the KV caches of prompts that were
///         read elsewhere: the first ones in decode role, which are the same at
///         all daemons; none without engines in prefill role
int count_receivers(std::vector<instance_state const *> const &instances)
{
    bool const any_prefill = std::ranges::any_of(
        instances, [](instance_state const *item)
        { return item->definition.role == engine_role::prefill; });
    if (!any_prefill)
    {
        return 0;
    }
    auto const decoding = std::ranges::count_if(instances, decodes);
    return static_cast<int>(
        std::ceil(receiving_share * static_cast<double>(decoding)));
}

double rank_score(std::uint64_t key, instance_state const &instance)
{
    auto const &id = instance.definition.id;
    auto const bits = XXH3_64bits_withSeed(id.data(), id.size(), key);
    auto const uniform = (static_cast<double>(bits >> 11) + 0.5) * 0x1p-53;
    auto const weight = instance.definition.role == engine_role::prefill
                            ? prefill_rank_weight
                            : 1.0;
    return -std::log(uniform) / weight;
}

bool may_take(world const &w, relay_state_entry const &request,
              instance_state const &instance)
{
    auto const &definition = instance.definition;
    bool const decoding = request.kept || request.prefill_failed ||
                          !request.last_event.empty() ||
                          request.content->prompt == std::nullopt;
    bool const role_fits = definition.role != engine_role::prefill || !decoding;
    return definition.accepts_work && !instance.address_taken && role_fits &&
           !(w.now < instance.health.avoided_until);
}

/// Instances that may take the request. Those that it was sent to, and those
/// that are avoided, are used only when there are no others.
std::vector<candidate> candidates_of(world const &w,
                                     relay_state_entry const &request)
{
    auto const &instances = w.relay.instances.of_service(request.service);
    auto receivers_left = count_receivers(instances);
    std::vector<candidate> fresh;
    std::vector<candidate> rest;
    for (auto const *instance : instances)
    {
        bool const receives = decodes(instance) && receivers_left-- > 0;
        if (!may_take(w, request, *instance))
        {
            continue;
        }
        auto const &tried = request.tried;
        bool const again =
            std::ranges::find(tried, instance->definition.id) != tried.end();
        (again ? rest : fresh).push_back({instance, {}, {}, 0, 0, receives});
    }
    return fresh.empty() ? rest : fresh;
}

void rank_candidates(relay_state_entry const &request,
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
        item->order = item->receives ? static_cast<int>(scores.size()) : order;
        item->rank = std::min(item->order, last_rank);
        order += item->receives ? 0 : 1;
    }
}

/// @return data centre whose engines go on with the prompt: that of the engine
///         that has read it, because a transfer between data centres takes
///         twice as long, or else the daemon's own
std::string const &handover_data_centre(world const &w,
                                        relay_state_entry const &request)
{
    auto const *reader =
        request.kept ? w.relay.instances.find(request.kept->instance) : nullptr;
    return reader == nullptr ? w.identity.data_centre
                             : reader->definition.data_centre;
}

bool is_in(std::string const &data_centre, candidate const &item)
{
    return item.instance->definition.data_centre == data_centre;
}

/// Leaves the engines that a prompt is compared for: the first ones in its
/// ranking unless it has been read, and those near by that go on with prompts.
/// Answers the load of hundreds of engines, where each choice would otherwise
/// look at all of them.
void keep_few(world const &w, relay_state_entry const &request,
              std::vector<candidate> &candidates)
{
    if (follows_caches(w) || request.chain.empty() ||
        candidates.size() <= static_cast<std::size_t>(most_ranked))
    {
        return;
    }
    auto const &near = handover_data_centre(w, request);
    bool const any_near =
        std::ranges::any_of(candidates, [&near](candidate const &item)
                            { return item.receives && is_in(near, item); });
    std::erase_if(candidates,
                  [&](candidate const &item)
                  {
                      bool const first = (!request.kept || !any_near) &&
                                         item.order < most_ranked;
                      bool const receives =
                          item.receives && (!any_near || is_in(near, item));
                      return !first && !receives;
                  });
}

/// @return time until an engine goes on with a prompt that was read elsewhere
duration handover_cost(candidate const &item)
{
    return item.prediction.wait + handover_time +
           (item.receives ? duration(0) : off_receiver_cost);
}

/// @return least time until any engine does; the longest one when there is none
duration least_handover_cost(std::vector<candidate> const &candidates)
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
    /// Leading tokens that it is known to have read.
    int tokens = 0;
    instant used_at{};
};

/// @return the engine that has read most of the shared parts, of several the
///         one that used them last, as an engine's cache drops first what it
///         used least recently; none when no engine is known to have read any
prefix_source find_prefix_source(relay_state_entry const &request,
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
                                  : cache.used_at(request.chain.back())};
        bool const better = std::pair(found.tokens, found.used_at) >
                            std::pair(best.tokens, best.used_at);
        if (item.instance != except && better)
        {
            best = found;
        }
    }
    return best;
}

/// @return the first home of the shared parts, which is assumed to hold them;
///         none when the request has none
prefix_source home_of(relay_state_entry const &request,
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

/// Counts the shared parts of a prompt as held where they have their homes.
void assume_home(world const &w, relay_state_entry const &request,
                 candidate &item)
{
    if (follows_caches(w) || request.chain.empty() ||
        item.rank >= homes_per_part)
    {
        return;
    }
    auto &prediction = item.prediction;
    prediction.time -=
        copying_time(w, request.service, prediction.copied_tokens);
    prediction.cached_tokens += prediction.copied_tokens;
    prediction.copied_tokens = 0;
}

void set_cost(world &w, relay_state_entry const &request,
              prefix_source const &source, candidate &item)
{
    item.prediction =
        predict_first_event(w, request, *item.instance, source.tokens);
    assume_home(w, request, item);
    auto &prediction = item.prediction;
    if (request.kept)
    {
        prediction.unread_tokens = 0;
        prediction.time = handover_cost(item);
    }
    item.cost = prediction.time +
                from_seconds(copied_token_cost_s * prediction.copied_tokens) +
                rank_cost * item.rank;
    if (item.receives && !request.kept && request.content->prompt)
    {
        item.cost +=
            from_seconds(receiver_reading_cost * prediction.unread_tokens /
                         prefill_tokens_per_ms(w, *item.instance) / 1e3);
    }
    if (!request.kept && request.content->prompt)
    {
        item.cost += pause_cost(w, *item.instance, prediction.unread_tokens);
    }
    if (item.instance->definition.data_centre != w.identity.data_centre)
    {
        item.cost += remote_cost;
    }
    // Daemons that see the same state must not all choose the same instance.
    item.cost += from_seconds(to_seconds(rank_cost) * w.random.uniform());
}

/// @return true when the engine has as many requests as it should; short
///         prompts are sent all the same
bool is_full(world const &w, instance_state const &instance,
             first_event_prediction const &prediction)
{
    if (prediction.unread_tokens < short_prompt_tokens)
    {
        return false;
    }
    auto const own = static_cast<double>(instance.open_calls.size());
    if (!w.relay.load.heard.empty())
    {
        return own + static_cast<double>(instance.others_open_calls) >=
               requests_at_once;
    }
    return own >= std::ceil(requests_at_once / w.relay.sharing_daemons());
}

/// @return address of the engine that the chosen one copies shared parts from
///         which it does not hold: the last user that is known, or else the
///         first in rank, where other daemons may have sent them; empty for
///         none
std::string copy_address(relay_state_entry const &request,
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

std::optional<instance_choice> choose_instance(world &w,
                                               relay_state_entry const &request)
{
    auto candidates = candidates_of(w, request);
    rank_candidates(request, candidates);
    keep_few(w, request, candidates);
    auto const source = follows_caches(w)
                            ? find_prefix_source(request, candidates, nullptr)
                            : home_of(request, candidates);
    std::ranges::for_each(candidates, [&](candidate &item)
                          { set_cost(w, request, source, item); });
    auto const handover = least_handover_cost(candidates);
    for (auto &item : candidates)
    {
        if (item.instance->definition.role == engine_role::prefill)
        {
            item.cost =
                handover == duration::max() ? handover : item.cost + handover;
        }
    }
    std::ranges::sort(candidates, {}, &candidate::cost);
    if (candidates.empty() || candidates.front().cost == duration::max())
    {
        return std::nullopt;
    }
    auto const &best = candidates.front();
    instance_choice out;
    out.full = is_full(w, *best.instance, best.prediction);
    out.instance = best.instance->definition.id;
    bool const prefill = best.instance->definition.role == engine_role::prefill;
    out.stage = prefill ? relay_stage::prefill : relay_stage::run;
    out.prediction = best.prediction;
    if (prefill)
    {
        out.prediction.time += handover;
    }
    if (!request.kept)
    {
        out.prefix_source_address =
            copy_address(request, candidates, *best.instance);
    }
    out.candidates = static_cast<int>(candidates.size());
    out.runner_up = candidates.size() > 1 ? candidates[1].cost : duration(0);
    return out;
}

} // namespace agateledge
