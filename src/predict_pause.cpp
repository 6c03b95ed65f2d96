#include "predict_pause.hpp"

#include "fade.hpp"
#include "predict_first_event.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Time in which a busy engine generates one token of each stream: 2.6 to 5.2
/// ms on the idle engines of the known deployments, more in a full batch.
constexpr duration token_time = milliseconds(6);

/// Weight of a new pause.
constexpr double pause_weight = 0.2;
/// Time in which a pause that is not seen again halves: the mix of prompts
/// changes within seconds.
constexpr double pause_half_life_s = 0.8;

duration pause_now(world const &w, instance_state const &instance)
{
    return fade(instance.pause, w.now - instance.pause_seen_at,
                pause_half_life_s);
}

} // namespace

duration pause_cost(world const &w, instance_state const &instance,
                    int unread_tokens)
{
    auto const &definition = instance.definition;
    auto const bound = w.relay.pause_bounds.find(definition.service);
    if (definition.role == engine_role::prefill ||
        bound == w.relay.pause_bounds.end())
    {
        return duration(0);
    }
    auto const *profile = find_service(*w.relay.routing, definition.service);
    auto const event_time =
        token_time * (profile == nullptr ? 1 : profile->tokens_per_event);
    auto const tokens = static_cast<double>(
        instance.unread_tokens + instance.others_unread_tokens + unread_tokens);
    auto const reading_s = tokens / prefill_tokens_per_ms(w, instance) / 1e3;
    auto const pause_s =
        to_seconds(std::max<duration>(event_time, pause_now(w, instance))) +
        reading_s;
    return from_seconds(pause_s * pause_s / to_seconds(bound->second));
}

void learn_pause(world const &w, instance_state &instance, duration pause)
{
    auto const before = to_seconds(pause_now(w, instance));
    instance.pause =
        from_seconds(before + pause_weight * (to_seconds(pause) - before));
    instance.pause_seen_at = w.now;
}

} // namespace agateledge
