#include "predict_event_gap.hpp"

#include "exponential_decay.hpp"
#include "predict_first_event.hpp"
#include "world.hpp"

#include <algorithm>
#include <optional>

namespace agateledge
{

namespace
{

/// Time in which a busy engine generates one token of each stream. Idle engines
/// of the known deployments take 2.6 to 5.2 ms; a full batch takes longer.
constexpr duration time_per_token = milliseconds(6);

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

} // namespace

namespace
{

/// @return predicted gap between two events of the engine's streams while it
///         prefills its unread prompts and `unread_tokens` more
duration predict_event_gap(world const &w, instance_state const &instance,
                           int unread_tokens, duration present)
{
    auto const *profile =
        find_service(*w.proxy.routing, instance.definition.service);
    auto const event_time =
        time_per_token * (profile == nullptr ? 1 : profile->tokens_per_event);
    auto const tokens = static_cast<double>(
        instance.unread_tokens + instance.peer_unread_tokens + unread_tokens);
    return std::max<duration>(event_time, present) +
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

void update_pause_estimate(world const &w, instance_state &instance,
                           duration pause)
{
    auto const before = to_seconds(current_pause(w, instance));
    instance.pause =
        from_seconds(before + pause_weight * (to_seconds(pause) - before));
    instance.pause_seen_at = w.now;
}

} // namespace agateledge
