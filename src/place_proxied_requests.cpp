#include "place_proxied_requests.hpp"

#include "available_from.hpp"
#include "choose_instance.hpp"
#include "count_usage.hpp"
#include "directory_age.hpp"
#include "hold_suspected_prompts.hpp"
#include "log_proxied_request.hpp"
#include "next_available_instance.hpp"
#include "proxy_lifecycle.hpp"
#include "share_requests.hpp"
#include "stop_proxy.hpp"
#include "world.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Maximum time to connect. A lost SYN packet is retransmitted after 1 s; the
/// request goes to another instance before that.
constexpr duration max_connect_time = milliseconds(400);

/// Least urgent priority that engines accept; 0 is the most urgent.
constexpr int least_urgent_priority = 9;

/// Time after which instances are compared again for a waiting request. There
/// are hundreds of ticks a second, and one comparison costs as much as a tick.
constexpr duration comparison_interval = milliseconds(5);

/// Maximum time after which a request that waits for the end of a pause is
/// reconsidered, because another instance may have been listed.
constexpr duration pause_check_interval = milliseconds(100);

/// Time after which a request that waits for a read of the directory is
/// reconsidered if the reply does not come first.
constexpr duration directory_check_interval = milliseconds(20);

/// Lower limit of the retry-after time for a request whose deadline cannot be
/// met; the time itself is derived from the excess of the predicted wait.
constexpr duration min_retry_after = milliseconds(500);

/// @return time before which a call to the instance must be sent, as far as it
///         is limited
std::optional<instant> valid_until(world const &w,
                                   instance_state const &instance)
{
    auto const directory = directory_valid_until(w);
    auto const &lapse = instance.expires_at;
    return directory && lapse ? std::min(directory, lapse)
                              : (directory ? directory : lapse);
}

proxy_call make_call(world const &w, proxy_request_state const &request,
                     instance_state const &instance,
                     instance_choice const &choice, attempt_number attempt,
                     bool background)
{
    auto const remaining = request.expires_at - w.now;
    proxy_call call;
    call.attempt = attempt;
    call.request = request.number;
    call.content = request.content;
    call.instance = choice.instance;
    call.address = instance.definition.address;
    call.stage = choice.stage;
    call.time_left = remaining;
    call.prefix_source_address = choice.prefix_source_address;
    call.resume_after = request.last_event;
    call.connect_timeout = std::min(remaining, max_connect_time);
    call.placed_at = w.now;
    call.directory_known_at = directory_known_at(w);
    if (auto const until = valid_until(w, instance))
    {
        call.send_by = *until;
        call.connect_timeout = std::min(call.connect_timeout, *until - w.now);
    }
    if (request.content->prompt)
    {
        call.priority = background ? least_urgent_priority
                                   : std::clamp(request.priority, 0,
                                                least_urgent_priority - 1);
    }
    if (w.proxy.routing->accounts || !request.account.empty())
    {
        call.account = request.account;
    }
    if (request.retained_prefill)
    {
        call.kv_source_address = request.retained_prefill->address;
        call.kv_handle = request.retained_prefill->handle;
    }
    return call;
}

/// @return age of the directory in milliseconds; empty when it was never read
std::string directory_age_text(world const &w)
{
    auto const known_at = directory_known_at(w);
    return known_at ? milliseconds_text(w.now - *known_at) : std::string();
}

void record_placement(world &w, proxy_request_state &request,
                      instance_state const &instance,
                      instance_choice const &choice)
{
    auto const &prediction = choice.prediction;
    bool const overdue = is_directory_overdue(w);
    w.proxy.metrics.overdue_placements += overdue ? 1 : 0;
    buffer_request_log(
        w, request, "request_placed",
        {{"instance", choice.instance},
         {"stage", choice.stage == proxy_stage::prefill ? "prefill" : "run"},
         {"row_version", std::to_string(instance.row_version)},
         {"directory_age_ms", directory_age_text(w)},
         {"directory_overdue", overdue ? "true" : "false"},
         {"predicted_ms", milliseconds_text(prediction.time)},
         {"wait_ms", milliseconds_text(prediction.wait)},
         {"unread_tokens", std::to_string(prediction.unread_tokens)},
         {"cached_tokens", std::to_string(prediction.cached_tokens)},
         {"candidates", std::to_string(choice.candidates)},
         {"runner_up_ms", milliseconds_text(choice.runner_up)},
         {"left_ms", milliseconds_text(request.expires_at - w.now)}});
}

/// @return true when the first event is predicted after its target. A request
///         whose prompt has been prefilled is not deferred: it needs little
///         more work and occupies the memory of the engine that prefilled it.
bool will_be_late(world const &w, proxy_request_state const &request,
                  instance_choice const &choice)
{
    return request.content->prompt && !request.retained_prefill &&
           !request.answering &&
           w.now + choice.prediction.time >
               request.arrived_at + request.route->target_latency;
}

void send(world &w, proxy_request_state &request, instance_choice const &choice)
{
    auto &proxy = w.proxy;
    auto &instance = *proxy.instances.find(choice.instance);
    auto const attempt = proxy.requests.next_attempt();
    bool const prefill = choice.stage == proxy_stage::prefill;
    bool const background = will_be_late(w, request, choice);
    if (background)
    {
        record_unserved_request(w, request);
    }
    record_account_work(w, request, choice.prediction.unread_tokens);
    w.out.proxy_calls.push_back(
        make_call(w, request, instance, choice, attempt, background));
    record_placement(w, request, instance, choice);
    proxy.requests.add({.attempt = attempt,
                        .request = request.number,
                        .instance = choice.instance,
                        .stage = choice.stage,
                        .sent_at = w.now,
                        .predicted = choice.prediction.time,
                        .unread_tokens = choice.prediction.unread_tokens,
                        .backlog_tokens = choice.prediction.backlog_tokens,
                        .calls_before = instance.open_calls.size(),
                        .background = background,
                        .incarnation = incarnation_of(instance.definition)});
    proxy.request_limits.record_send(instance.definition, w.now,
                                     proxy.effective_fleet_size());
    instance.open_calls.insert(attempt);
    instance.add_unread_tokens(choice.prediction.unread_tokens, background);
    instance.cache.record_prompt(request.chain, w.now);
    if (std::exchange(request.retry_reserved, false))
    {
        proxy.budgets[request.service].charge(w.now);
    }
    request.attempt = attempt;
    request.tried_instances.push_back(choice.instance);
    request.runs += prefill ? 0 : 1;
    ++request.sends;
    count_sent_call(w, request, !request.first_sent_at,
                    choice.prediction.unread_tokens);
    if (!request.first_sent_at)
    {
        request.first_sent_at = w.now;
        proxy.metrics.queued.add(w.now - request.arrived_at);
    }
    proxy.metrics.tokens_cached +=
        static_cast<std::uint64_t>(choice.prediction.cached_tokens);
    proxy.metrics.tokens_read +=
        static_cast<std::uint64_t>(choice.prediction.unread_tokens);
}

/// This daemon's waiting requests by service.
struct queued_work
{
    /// Uncached prompt tokens of the requests that wait for an engine's limit.
    std::map<std::string, double> tokens;
    /// Number of requests that wait until an instance takes any.
    std::map<std::string, int> awaiting_instance;
};

/// @return prefill throughput of a service, in tokens per millisecond, summed
///         over the engines that accept work
double service_tokens_per_ms(world const &w, std::string const &service)
{
    auto const &instances = w.proxy.instances.of_service(service);
    return std::accumulate(instances.begin(), instances.end(), 0.0,
                           [&w](double sum, instance_state const *engine)
                           {
                               return sum +
                                      (engine->definition.accepts_work
                                           ? prefill_tokens_per_ms(w, *engine)
                                           : 0);
                           });
}

/// @return time until the engines have prefilled the prompts queued before this
///         one, on the assumption that other daemons queue as many as this one
duration queue_time(world const &w, std::string const &service,
                    instance_choice const &choice, queued_work const &queued)
{
    auto const found = queued.tokens.find(service);
    if (!choice.full || found == queued.tokens.end())
    {
        return duration(0);
    }
    return from_seconds(found->second * w.proxy.effective_fleet_size() /
                        service_tokens_per_ms(w, service) / 1e3);
}

/// @return time that a request which will be late waits at its engine for
///         earlier background calls, on the assumption that other daemons have
///         as many there as this one
duration background_time(world const &w, proxy_request_state const &request,
                         instance_choice const &choice)
{
    if (!will_be_late(w, request, choice))
    {
        return duration(0);
    }
    auto const &engine = *w.proxy.instances.find(choice.instance);
    return from_seconds(static_cast<double>(engine.background_tokens) *
                        w.proxy.effective_fleet_size() /
                        prefill_tokens_per_ms(w, engine) / 1e3);
}

void requeue(world &w, proxy_request_state const &request, queued_work &queued)
{
    queued.tokens[request.service] += request.waiting_tokens;
    queued.awaiting_instance[request.service] +=
        request.awaits_instance ? 1 : 0;
    w.proxy.waiting.push_back(request.number);
    wake_at(w, request.not_before);
}

/// @return time by which the next event must arrive, or else the caller leaves
instant event_due(proxy_request_state const &request)
{
    if (!request.answering)
    {
        return request.begin_by;
    }
    return std::min(request.expires_at,
                    request.last_event_at +
                        request.route->stream_idle_timeout());
}

/// @return time until the instances have taken the requests that wait before
///         this one; 0 when no instance limits its requests
duration limit_time(world const &w, std::string const &service,
                    queued_work const &queued)
{
    auto const found = queued.awaiting_instance.find(service);
    if (found == queued.awaiting_instance.end())
    {
        return duration(0);
    }
    auto const &instances = w.proxy.instances.of_service(service);
    auto const daemons = w.proxy.effective_fleet_size();
    auto const per_s = std::accumulate(
        instances.begin(), instances.end(), 0.0,
        [&w, daemons](double sum, instance_state const *instance)
        {
            auto const share =
                w.proxy.request_limits.share_of(instance->definition, daemons);
            return sum + share.value_or(0);
        });
    return per_s > 0 ? from_seconds(found->second / per_s) : duration(0);
}

/// Queues the request until a read of the directory is answered or has failed.
void await_directory(world &w, proxy_request_state &request,
                     queued_work &queued)
{
    if (!std::exchange(request.awaits_directory, true))
    {
        buffer_request_log(w, request, "directory_awaited",
                           {{"directory_age_ms", directory_age_text(w)}});
        ++w.proxy.metrics.directory_waits;
    }
    request.not_before = w.now + directory_check_interval;
    requeue(w, request, queued);
}

/// Queues the request until an instance takes it: after the end of a pause that
/// it asked for, or within its request limit. Fails the request when that is
/// too late, or when neither is the reason that there is no instance.
void await_instance(world &w, request_number number, queued_work &queued)
{
    auto &request = *w.proxy.requests.find(number);
    auto const *next = next_available_instance(w, request.service);
    bool const waits =
        next != nullptr &&
        std::max(w.proxy.paused_until(next->definition),
                 w.proxy.within_limit_from(next->definition, w.now)) > w.now;
    if (!waits)
    {
        fail_proxied_request(w, number,
                             "no instance of the service accepts work");
        return;
    }
    auto const from = available_from(w, *next);
    auto const prediction = predict_first_event(w, request, *next, 0);
    if (from + limit_time(w, request.service, queued) + prediction.time >
        event_due(request))
    {
        fail_proxied_request(w, number,
                             "the instances of the service take no request "
                             "early enough");
        return;
    }
    record_unserved_request(w, request);
    request.awaits_instance = true;
    request.not_before = std::min(from, w.now + pause_check_interval);
    requeue(w, request, queued);
}

/// Sends, refuses or queues the request.
void place(world &w, request_number number, queued_work &queued)
{
    if (hold_if_suspected(w, number))
    {
        return;
    }
    auto &request = *w.proxy.requests.find(number);
    bool const is_unsent = request.runs == 0 && !request.retained_prefill;
    if (is_unsent && admission_closed(w))
    {
        refuse_while_stopping(w, number);
        return;
    }
    if (refuse_over_share(w, request))
    {
        return;
    }
    request.awaits_instance = false;
    if (awaits_directory(w))
    {
        await_directory(w, request, queued);
        return;
    }
    request.awaits_directory = false;
    auto const choice = choose_instance(w, request);
    if (!choice)
    {
        await_instance(w, number, queued);
        return;
    }
    if (will_be_late(w, request, *choice) && refuse_late_over_share(w, request))
    {
        return;
    }
    auto const remaining = request.begin_by - w.now;
    auto const needed = choice->prediction.time +
                        queue_time(w, request.service, *choice, queued) +
                        background_time(w, request, *choice);
    if (request.runs == 0 && needed > remaining)
    {
        auto const excess = needed - remaining;
        record_unserved_request(w, request);
        refuse_proxied_request(
            w, number, result_code::deadline_unreachable,
            "the earliest predicted first event is after the caller would "
            "abandon the request",
            spread_retry_after(w, std::max(excess * 2, min_retry_after)));
        return;
    }
    if (choice->full)
    {
        record_waiting_request(w, request);
        request.waiting_tokens = choice->prediction.unread_tokens;
        request.not_before = w.now + comparison_interval;
        requeue(w, request, queued);
        return;
    }
    request.waiting_tokens = 0;
    send(w, request, *choice);
}

} // namespace

void place_proxied_requests(world &w)
{
    auto const due =
        order_waiting_requests(w, std::exchange(w.proxy.waiting, {}));
    queued_work queued;
    for (auto const number : due)
    {
        auto const &request = *w.proxy.requests.find(number);
        if (request.not_before > w.now)
        {
            requeue(w, request, queued);
            continue;
        }
        place(w, number, queued);
    }
}

} // namespace agateledge
