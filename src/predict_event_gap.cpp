#include "predict_event_gap.hpp"

#include "exponential_decay.hpp"
#include "predict_first_event.hpp"
#include "world.hpp"

#include <algorithm>

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

duration pause_cost(world const &w, instance_state const &instance,
                    int unread_tokens)
{
    auto const &definition = instance.definition;
    auto const bound = w.proxy.max_event_gaps.find(definition.service);
    if (definition.role == engine_role::prefill ||
        bound == w.proxy.max_event_gaps.end())
    {
        return duration(0);
    }
    auto const *profile = find_service(*w.proxy.routing, definition.service);
    auto const event_time =
        time_per_token * (profile == nullptr ? 1 : profile->tokens_per_event);
    auto const tokens = static_cast<double>(
        instance.unread_tokens + instance.peer_unread_tokens + unread_tokens);
    auto const prefill_s = tokens / prefill_tokens_per_ms(w, instance) / 1e3;
    auto const pause_s =
        to_seconds(std::max<duration>(event_time, current_pause(w, instance))) +
        prefill_s;
    return from_seconds(pause_s * pause_s / to_seconds(bound->second));
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
