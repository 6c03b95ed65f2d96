#include "predict_event_gap.hpp"

#include "engine_speed.hpp"
#include "exponential_decay.hpp"
#include "predict_first_event.hpp"
#include "world.hpp"

#include <algorithm>
#include <optional>

namespace agateledge
{

namespace
{

/// Time in which an engine generates one token of each stream, until the event
/// gaps of the service have been measured.
constexpr duration initial_time_per_token = milliseconds(6);

/// Weights of a measured event time below and above the present estimate.
/// Samples above it count less: prompts of other daemons prolong gaps too.
constexpr double shorter_weight = 0.1;
constexpr double longer_weight = 0.02;

/// Weight of the observation of an engine's speed from one event gap.
constexpr double event_weight = 0.3;

/// Weight of a new pause sample.
constexpr double pause_weight = 0.2;
/// Half-life of the pause while there are no new samples; the mix of prompts
/// changes within seconds.
constexpr double pause_half_life_s = 0.8;

duration current_pause(world const &w, instance_state const &instance)
{
    return exponential_decay(instance.pause, w.now - instance.pause_seen_at,
                             pause_half_life_s);
}

/// @return time between two events of a stream at an engine of the service that
///         prefills no prompt
duration undisturbed_event_time(world const &w, std::string const &service)
{
    auto const found = w.proxy.event_times.find(service);
    if (found != w.proxy.event_times.end())
    {
        return found->second;
    }
    auto const *profile = find_service(*w.proxy.routing, service);
    return initial_time_per_token *
           (profile == nullptr ? 1 : profile->tokens_per_event);
}

/// @param min_gap lower limit of the gap without these prompts
/// @return predicted gap between two events of the engine's streams while it
///         prefills its unread prompts and `unread_tokens` more
duration predict_event_gap(world const &w, instance_state const &instance,
                           int unread_tokens, duration min_gap)
{
    auto const event_time =
        undisturbed_event_time(w, instance.definition.service);
    auto const tokens = unread_backlog(w, instance) + unread_tokens;
    return std::max(event_time, min_gap) +
           from_seconds(tokens / prefill_tokens_per_ms(w, instance) / 1e3);
}

/// @return the maximum gap of the service of an engine that decodes; none for
///         other engines and without such a limit
std::optional<duration> max_event_gap(world const &w,
                                      instance_state const &instance)
{
    auto const &definition = instance.definition;
    auto const found = w.proxy.max_event_gaps.find(definition.service);
    if (definition.role == engine_role::prefill ||
        found == w.proxy.max_event_gaps.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace

duration pause_cost(world const &w, instance_state const &instance,
                    int unread_tokens)
{
    auto const limit = max_event_gap(w, instance);
    if (!limit)
    {
        return duration(0);
    }
    auto const gap_s = to_seconds(predict_event_gap(
        w, instance, unread_tokens, current_pause(w, instance)));
    return from_seconds(gap_s * gap_s / to_seconds(*limit));
}

bool delays_streams(world const &w, instance_state const &instance,
                    int unread_tokens)
{
    auto const limit = max_event_gap(w, instance);
    bool const idle =
        instance.open_calls.empty() && instance.peer_open_calls == 0;
    return limit && !idle &&
           predict_event_gap(w, instance, unread_tokens, duration(0)) > *limit;
}

void update_pause_estimate(world &w, instance_state &instance, duration pause)
{
    if (instance.unread_tokens + instance.peer_unread_tokens <= 0)
    {
        auto const &service = instance.definition.service;
        auto const estimate = to_seconds(undisturbed_event_time(w, service));
        auto const sample = to_seconds(pause);
        instance.speed.add(estimate / std::max(sample, 1e-3), event_weight,
                           w.now);
        auto const weight = sample < estimate ? shorter_weight : longer_weight;
        w.proxy.event_times[service] =
            from_seconds(estimate + weight * (sample - estimate));
    }
    auto const before = to_seconds(current_pause(w, instance));
    instance.pause =
        from_seconds(before + pause_weight * (to_seconds(pause) - before));
    instance.pause_seen_at = w.now;
}

} // namespace agateledge
