#include "predict_first_event.hpp"

#include "fade.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Speeds until the engines of a service have been observed: the slower of the
/// two known deployments; an engine in decode role reads at half the speed.
constexpr double initial_prefill_tokens_per_ms = 48;
constexpr double initial_decode_tokens_per_ms = 24;

/// Range in which a learned speed is believed.
constexpr double least_tokens_per_ms = 5;
constexpr double most_tokens_per_ms = 200;

/// Prompts that are too short say little about the speed of reading.
constexpr int least_sample_tokens = 1500;

/// Time to the first event that does not depend on the prompt: the connection,
/// the set-up of a request, and one step of the batch.
constexpr duration engine_base = milliseconds(20);

/// Time that a copy from another engine's cache takes beside the transfer.
constexpr duration copy_base = milliseconds(8);

/// Time of a plain call on an idle endpoint.
constexpr duration endpoint_base = milliseconds(15);

/// Weight of a new sample of the delay.
constexpr double delay_weight = 0.3;
/// Time in which a delay that is not confirmed halves.
constexpr double delay_half_life_s = 0.8;
/// Weights of a sample of the speed that is above and below the present value:
/// unseen calls of other daemons only ever make an engine look slower.
constexpr double faster_weight = 0.15;
constexpr double slower_weight = 0.03;

duration delay_now(world const &w, instance_state const &instance)
{
    return fade(instance.delay, w.now - instance.delay_seen_at,
                delay_half_life_s);
}

/// @return time by which the oldest silent call is later than predicted
duration overdue(world const &w, instance_state const &instance)
{
    duration most{};
    for (auto const number : instance.open_calls)
    {
        auto const *call = w.relay.requests.find(number);
        if (call != nullptr && !call->answered)
        {
            most = std::max(most, w.now - call->sent_at - call->predicted);
        }
    }
    return most;
}

duration reading_time(world const &w, instance_state const &instance,
                      double tokens)
{
    return from_seconds(tokens / prefill_tokens_per_ms(w, instance) / 1e3);
}

} // namespace

duration copying_time(world const &w, std::string const &service, int tokens)
{
    auto const *profile = find_service(*w.relay.routing, service);
    if (tokens == 0 || profile == nullptr || profile->kv_bytes_per_ms <= 0)
    {
        return duration(0);
    }
    auto const transfer_ms =
        tokens * profile->kv_bytes_per_token / profile->kv_bytes_per_ms;
    return copy_base + from_seconds(transfer_ms / 1e3);
}

double prefill_tokens_per_ms(world const &w, instance_state const &instance)
{
    auto const &definition = instance.definition;
    auto const found =
        w.relay.prefill_speeds.find({definition.service, definition.role});
    if (found != w.relay.prefill_speeds.end())
    {
        return found->second;
    }
    return definition.role == engine_role::decode
               ? initial_decode_tokens_per_ms
               : initial_prefill_tokens_per_ms;
}

first_event_prediction predict_first_event(world const &w,
                                           relay_state_entry const &request,
                                           instance_state const &instance,
                                           int copyable_tokens)
{
    first_event_prediction out;
    out.wait = std::max(delay_now(w, instance), overdue(w, instance));
    if (!request.content->prompt)
    {
        auto const open = static_cast<int>(instance.open_calls.size());
        out.wait += endpoint_base * open / 2;
        out.time = out.wait + endpoint_base;
        return out;
    }
    auto const tokens = request.content->prompt->prompt_tokens;
    out.cached_tokens = instance.cache.cached_tokens(request.chain, w.now);
    out.copied_tokens = std::max(copyable_tokens - out.cached_tokens, 0);
    out.unread_tokens =
        std::max(tokens - out.cached_tokens - out.copied_tokens, 1);
    out.wait +=
        reading_time(w, instance,
                     static_cast<double>(instance.unread_tokens +
                                         instance.others_unread_tokens));
    out.time = out.wait + engine_base +
               copying_time(w, request.service, out.copied_tokens) +
               reading_time(w, instance, out.unread_tokens);
    return out;
}

void learn_first_event(world &w, instance_state &instance, instant sent_at,
                       duration predicted, int unread_tokens, bool alone)
{
    auto const taken = w.now - sent_at;
    auto const before = delay_now(w, instance);
    auto const sample = std::max(taken - predicted + before, duration(0));
    instance.delay = from_seconds((1 - delay_weight) * to_seconds(before) +
                                  delay_weight * to_seconds(sample));
    instance.delay_seen_at = w.now;
    if (!alone || unread_tokens < least_sample_tokens)
    {
        return;
    }
    auto const reading_ms =
        std::max(to_seconds(taken - engine_base) * 1e3, 1.0);
    auto const speed = std::clamp(unread_tokens / reading_ms,
                                  least_tokens_per_ms, most_tokens_per_ms);
    auto const &definition = instance.definition;
    auto const known = prefill_tokens_per_ms(w, instance);
    auto const weight = speed > known ? faster_weight : slower_weight;
    w.relay.prefill_speeds[{definition.service, definition.role}] =
        known + weight * (speed - known);
}

} // namespace agateledge
