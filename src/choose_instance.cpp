#include "choose_instance.hpp"

#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <vector>

namespace agateledge
{

namespace
{

/// Time that the transfer of a KV cache to a decode engine adds: two more
/// calls' set-up and the transfer of a long prompt.
constexpr duration handover_time = milliseconds(35);

/// Cost of a place further down the home ranking, so that daemons that leave
/// the home of a prompt go to the same engine.
constexpr duration rank_cost = milliseconds(3);
/// Ranks beyond this one cost the same.
constexpr int last_rank = 8;

/// Cost of sending to another data centre: the round trip of the request and
/// of its answer, and the bytes between data centres.
constexpr duration remote_cost = milliseconds(4);

/// Weight of reading shared parts again. Besides this request it delays those
/// behind it, which then leave their homes as well: in bursts of long prompts a
/// weight of 1 let the engines read 43% of the shared parts again, 8 let them
/// read 7% (docs/measurements.md).
constexpr double reread_weight = 8;

/// Requests that one engine runs at once, over all daemons, before long prompts
/// wait. An engine admits all that fit and reads them side by side, so that
/// each of many is late, and their memory displaces the shared parts from its
/// cache.
constexpr double requests_at_once = 16;

/// Prompts with fewer tokens to read never wait for others.
constexpr int short_prompt_tokens = 2000;

/// Part of the engines in decode role that receive the KV caches of prompts
/// that were read elsewhere. They read no prompts while others can, because a
/// request that was handed over waits behind the prompts that are read there.
constexpr double receiving_share = 0.25;

/// Cost of handing a KV cache to an engine that reads prompts.
constexpr duration off_receiver_cost = milliseconds(60);

/// Cost of reading a prompt on a receiving engine.
constexpr duration receiver_reading_cost = milliseconds(200);

/// An engine in decode role reads at half the speed of one in prefill role and
/// gets half as many homes.
constexpr double prefill_home_weight = 2;

struct candidate
{
    instance_state const *instance = nullptr;
    first_event_prediction prediction;
    duration cost{};
    int rank = 0;
    /// The engine receives the KV caches of prompts that were read elsewhere.
    bool receives = false;
};

/// @return true for an engine in decode role that takes new work
bool decodes(world const &w, std::string const &id)
{
    auto const &definition = w.relay.instances.find(id)->definition;
    return definition.role == engine_role::decode && definition.accepts_work;
}

/// @return ids of the engines that receive the KV caches of prompts that were
///         read elsewhere, the same at all daemons; none without engines in
///         prefill role
std::set<std::string> receivers_of(world const &w, std::string const &service)
{
    auto const &ids = w.relay.instances.of_service(service);
    bool const any_prefill = std::ranges::any_of(
        ids,
        [&w](std::string const &id)
        {
            return w.relay.instances.find(id)->definition.role ==
                   engine_role::prefill;
        });
    if (!any_prefill)
    {
        return {};
    }
    std::vector<std::string> decoding;
    std::ranges::copy_if(ids, std::back_inserter(decoding),
                         [&w](std::string const &id)
                         { return decodes(w, id); });
    auto const count =
        std::ceil(receiving_share * static_cast<double>(decoding.size()));
    decoding.resize(static_cast<std::size_t>(count));
    return {decoding.begin(), decoding.end()};
}

double home_score(std::uint64_t key, instance_state const &instance)
{
    auto const &id = instance.definition.id;
    auto const bits = XXH3_64bits_withSeed(id.data(), id.size(), key);
    auto const uniform = (static_cast<double>(bits >> 11) + 0.5) * 0x1p-53;
    auto const weight = instance.definition.role == engine_role::prefill
                            ? prefill_home_weight
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
    std::vector<candidate> fresh;
    std::vector<candidate> rest;
    auto const receivers = receivers_of(w, request.service);
    for (auto const &id : w.relay.instances.of_service(request.service))
    {
        auto const &instance = *w.relay.instances.find(id);
        bool const tried =
            std::ranges::find(request.tried, id) != request.tried.end();
        if (!may_take(w, request, instance))
        {
            continue;
        }
        (tried ? rest : fresh)
            .push_back({&instance, {}, {}, 0, receivers.contains(id)});
    }
    return fresh.empty() ? rest : fresh;
}

void rank_homes(relay_state_entry const &request,
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
        { return std::pair(home_score(key, *item.instance), &item); });
    std::ranges::sort(scores, {}, &std::pair<double, candidate *>::first);
    int rank = 0;
    for (auto const &[score, item] : scores)
    {
        item->rank = item->receives ? last_rank : std::min(rank++, last_rank);
    }
}

/// @return least cost of handing a prompt's KV cache to an engine
duration least_handover_cost(world const &w, relay_state_entry const &request,
                             std::vector<candidate> const &candidates)
{
    duration least = duration::max();
    for (auto const &item : candidates)
    {
        if (item.instance->definition.role != engine_role::prefill)
        {
            auto const wait =
                predict_first_event(w, request, *item.instance, false).wait;
            least = std::min(
                least, wait + handover_time +
                           (item.receives ? duration(0) : off_receiver_cost));
        }
    }
    return least;
}

void set_cost(world &w, relay_state_entry const &request, candidate &item)
{
    bool const home = item.rank == 0 && !request.chain.empty();
    item.prediction =
        predict_first_event(w, request, *item.instance, home && !request.kept);
    auto &prediction = item.prediction;
    if (request.kept)
    {
        prediction.unread_tokens = 0;
        prediction.time = prediction.wait + handover_time +
                          (item.receives ? duration(0) : off_receiver_cost);
    }
    auto const speed = prefill_tokens_per_ms(w, *item.instance);
    auto const shared = request.chain.empty() ? 0 : request.chain.back().tokens;
    auto const again =
        request.kept ? 0 : std::max(shared - prediction.cached_tokens, 0);
    item.cost = prediction.time +
                from_seconds((reread_weight - 1) * again / speed / 1e3) +
                rank_cost * item.rank;
    if (item.receives && !request.kept && request.content->prompt)
    {
        item.cost += receiver_reading_cost;
    }
    if (item.instance->definition.data_centre != w.identity.data_centre)
    {
        item.cost += remote_cost;
    }
    // Daemons that see the same state must not all choose the same instance.
    item.cost += from_seconds(to_seconds(rank_cost) * w.random.uniform());
}

/// @return true when the engine runs as many requests as it should; short
///         prompts are taken all the same
bool is_full(world const &w, instance_state const &instance,
             first_event_prediction const &prediction)
{
    if (prediction.unread_tokens < short_prompt_tokens)
    {
        return false;
    }
    auto const daemons = std::max(static_cast<double>(w.relay.daemons.size()),
                                  fewest_counted_daemons);
    return static_cast<double>(instance.open_calls.size()) >=
           std::ceil(requests_at_once / daemons);
}

} // namespace

std::optional<instance_choice> choose_instance(world &w,
                                               relay_state_entry const &request)
{
    auto candidates = candidates_of(w, request);
    rank_homes(request, candidates);
    std::ranges::for_each(candidates,
                          [&](candidate &item) { set_cost(w, request, item); });
    auto const handover = least_handover_cost(w, request, candidates);
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
    out.candidates = static_cast<int>(candidates.size());
    out.runner_up = candidates.size() > 1 ? candidates[1].cost : duration(0);
    return out;
}

} // namespace agateledge
