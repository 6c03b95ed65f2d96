#include "predict_first_event.hpp"

#include "assign_engine_roles.hpp"
#include "engine_speed.hpp"
#include "exchange_topology.hpp"
#include "exponential_decay.hpp"
#include "reported_load.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Prefill speeds until a service's engines have been measured: those of the
/// slower of the two known deployments. An engine in decode role prefills at
/// half the speed.
constexpr double initial_prefill_tokens_per_ms = 48;
constexpr double initial_decode_tokens_per_ms = 24;

/// Range to which measured speeds are clamped.
constexpr double min_tokens_per_ms = 5;
constexpr double max_tokens_per_ms = 200;

/// Minimum tokens of a speed sample: fixed costs dominate shorter prompts.
constexpr int min_sample_tokens = 1500;

/// Minimum tokens of an observation of an engine's speed, and tokens of one
/// with full weight.
constexpr int min_speed_tokens = 800;
constexpr double full_weight_tokens = 2000;

/// Time to the first event that does not depend on the prompt: connection,
/// request set-up, and one batch step.
constexpr duration engine_base_time = milliseconds(20);

/// Fixed time of a copy from another engine's cache, without the transfer.
constexpr duration copy_base_time = milliseconds(8);

/// Time of a call to an idle endpoint.
constexpr duration endpoint_base_time = milliseconds(15);

/// Weight of a new delay sample.
constexpr double delay_weight = 0.3;
/// Half-life of the delay while there are no new samples.
constexpr double delay_half_life_s = 0.8;
/// Weights of a speed sample above and below the present estimate. Samples
/// below it count less: calls of other daemons only make an engine appear
/// slower.
constexpr double faster_weight = 0.15;
constexpr double slower_weight = 0.03;

duration current_delay(world const &w, instance_state const &instance)
{
    return exponential_decay(instance.delay, w.now - instance.delay_seen_at,
                             delay_half_life_s);
}

/// @return maximum time by which an unanswered call exceeds its prediction; at
///         least 0
duration max_overdue_time(world const &w, instance_state const &instance)
{
    duration max_overdue{};
    for (auto const number : instance.open_calls)
    {
        auto const *call = w.proxy.requests.find(number);
        if (call != nullptr && !call->answered && !call->background)
        {
            max_overdue =
                std::max(max_overdue, w.now - call->sent_at - call->predicted);
        }
    }
    return max_overdue;
}

duration prefill_time(world const &w, instance_state const &instance,
                      double tokens)
{
    return from_seconds(tokens / prefill_tokens_per_ms(w, instance) / 1e3);
}

} // namespace

duration prefix_copy_time(world const &w, std::string const &service,
                          int tokens)
{
    auto const *profile = find_service(*w.proxy.routing, service);
    if (tokens == 0 || profile == nullptr || profile->kv_bytes_per_ms <= 0)
    {
        return duration(0);
    }
    auto const transfer_ms =
        tokens * profile->kv_bytes_per_token / profile->kv_bytes_per_ms;
    return copy_base_time + from_seconds(transfer_ms / 1e3);
}

double prefill_tokens_per_ms(world const &w, instance_state const &instance)
{
    auto const &definition = instance.definition;
    auto const found =
        w.proxy.prefill_speeds.find({definition.service, definition.role});
    if (found != w.proxy.prefill_speeds.end())
    {
        return found->second;
    }
    return definition.role == engine_role::decode
               ? initial_decode_tokens_per_ms
               : initial_prefill_tokens_per_ms;
}

namespace
{

/// @return age of the load that the other daemons reported
duration load_age(world const &w)
{
    auto const &load = w.proxy.load;
    auto const since_sum =
        load.summed_at == instant{} ? duration(0) : w.now - load.summed_at;
    return since_sum + load.report_delay;
}

} // namespace

double unread_backlog(world const &w, instance_state const &instance)
{
    auto const own = static_cast<double>(instance.unread_tokens);
    auto const reported = static_cast<double>(instance.peer_unread_tokens);
    if (is_mesh(w))
    {
        return own + reported;
    }
    return own + remaining_tokens(reported, load_age(w),
                                  prefill_tokens_per_ms(w, instance));
}

first_event_prediction predict_first_event(world const &w,
                                           proxy_request_state const &request,
                                           instance_state const &instance,
                                           int copyable_tokens)
{
    first_event_prediction out;
    out.wait =
        std::max(current_delay(w, instance), max_overdue_time(w, instance));
    if (!request.content->prompt)
    {
        auto const open = static_cast<int>(instance.open_calls.size());
        out.wait += endpoint_base_time * open / 2;
        out.time = out.wait + endpoint_base_time;
        return out;
    }
    auto const tokens = request.content->prompt->prompt_tokens;
    out.cached_tokens = instance.cache.cached_tokens(request.chain, w.now);
    out.copied_tokens = std::max(copyable_tokens - out.cached_tokens, 0);
    out.unread_tokens =
        std::max(tokens - out.cached_tokens - out.copied_tokens, 1);
    auto const backlog = unread_backlog(w, instance);
    out.backlog_tokens = static_cast<int>(backlog);
    out.wait += prefill_time(w, instance, backlog);
    out.time = out.wait + engine_base_time +
               prefix_copy_time(w, request.service, out.copied_tokens) +
               prefill_time(w, instance, out.unread_tokens);
    return out;
}

namespace
{

/// Observes the speed of an engine from the time of a first event.
void record_speed(world &w, instance_state &instance, duration elapsed,
                  int tokens)
{
    if (tokens < min_speed_tokens)
    {
        return;
    }
    auto const ms = std::max(to_seconds(elapsed - engine_base_time) * 1e3, 1.0);
    auto const weight = std::min(tokens / full_weight_tokens, 1.0);
    instance.speed.add(tokens / ms / prefill_tokens_per_ms(w, instance), weight,
                       w.now);
}

} // namespace

void update_first_event_estimate(world &w, instance_state &instance,
                                 instant sent_at, duration predicted,
                                 int unread_tokens, int backlog_tokens,
                                 bool alone)
{
    auto const elapsed = w.now - sent_at;
    auto const before = current_delay(w, instance);
    auto const sample = std::max(elapsed - predicted + before, duration(0));
    instance.delay = from_seconds((1 - delay_weight) * to_seconds(before) +
                                  delay_weight * to_seconds(sample));
    instance.delay_seen_at = w.now;
    record_speed(w, instance, elapsed, unread_tokens + backlog_tokens);
    if (instance.definition.role == engine_role::prefill)
    {
        record_prefill_delay(w, instance.definition.service,
                             elapsed - engine_base_time -
                                 prefill_time(w, instance, unread_tokens));
    }
    if (!alone || unread_tokens < min_sample_tokens)
    {
        return;
    }
    auto const prefill_ms =
        std::max(to_seconds(elapsed - engine_base_time) * 1e3, 1.0);
    auto const speed = std::clamp(unread_tokens / prefill_ms, min_tokens_per_ms,
                                  max_tokens_per_ms);
    auto const &definition = instance.definition;
    auto const estimate = prefill_tokens_per_ms(w, instance);
    auto const weight = speed > estimate ? faster_weight : slower_weight;
    w.proxy.prefill_speeds[{definition.service, definition.role}] =
        estimate + weight * (speed - estimate);
}

} // namespace agateledge
