#include "proxy_lifecycle.hpp"

#include "available_from.hpp"
#include "count_usage.hpp"
#include "log_proxied_request.hpp"
#include "next_available_instance.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Refused calls of one request that are allowed in addition to the attempts of
/// its route.
constexpr int max_refused_calls = 3;

void record_result(world &w, instance_state &instance, call_result result)
{
    auto &health = instance.health;
    auto const decayed = health.results_at(w.now);
    health.results.succeeded =
        decayed.succeeded + (result == call_result::succeeded ? 1 : 0);
    health.results.failed =
        decayed.failed + (result == call_result::failed ? 1 : 0);
    health.counted_at = w.now;
}

void answer(world &w, proxy_answer answer)
{
    answer.close_connection = w.proxy.stopping_since.has_value();
    w.out.proxy_answers.push_back(std::move(answer));
}

/// @return time until an instance of the service is available; 0 when one is,
///         or when none will be
duration time_until_available(world const &w, std::string const &service)
{
    auto const *next = next_available_instance(w, service);
    return next == nullptr ? duration(0) : available_from(w, *next) - w.now;
}

} // namespace

void remove_proxied_request(world &w, request_number number)
{
    auto const *request = w.proxy.requests.find(number);
    if (request != nullptr && request->retry_reserved)
    {
        w.proxy.budgets[request->service].release();
    }
    std::erase(w.proxy.waiting, number);
    forget_counted_request(w, number);
    w.proxy.requests.erase(number);
}

void close_attempt(world &w, attempt_number attempt, call_result result)
{
    auto const *call = w.proxy.requests.find(attempt);
    if (call == nullptr)
    {
        return;
    }
    auto *instance = w.proxy.instances.find(call->instance);
    if (instance != nullptr && instance->open_calls.erase(attempt) != 0)
    {
        instance->add_unread_tokens(call->answered ? 0 : -call->unread_tokens,
                                    call->background);
        record_result(w, *instance, result);
    }
    if (auto *request = w.proxy.requests.find(call->request);
        request != nullptr && request->attempt == attempt)
    {
        request->attempt.reset();
    }
    w.proxy.requests.erase(attempt);
}

void cancel_attempt(world &w, attempt_number attempt, call_result result)
{
    w.out.proxy_cancels.push_back({attempt});
    close_attempt(w, attempt, result);
}

void release_kept_prefill(world &w, proxy_request_state &request)
{
    auto const retained = std::exchange(request.retained_prefill, std::nullopt);
    if (!retained)
    {
        return;
    }
    auto const *holder = w.proxy.instances.find(retained->instance);
    bool const paused =
        holder != nullptr && w.proxy.paused_until(holder->definition) > w.now;
    // A KV cache that is not released expires at the engine.
    if (!paused)
    {
        w.out.kv_releases.push_back({retained->address, retained->handle});
    }
}

duration spread_retry_after(world &w, duration max_retry_after)
{
    return from_seconds(to_seconds(max_retry_after) *
                        (0.5 + 0.5 * w.random.uniform()));
}

void refuse_proxied_request(world &w, request_number number, result_code code,
                            std::string const &message,
                            std::optional<duration> retry_after)
{
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    if (request->attempt)
    {
        cancel_attempt(w, *request->attempt, call_result::neutral);
    }
    release_kept_prefill(w, *request);
    ++w.proxy.metrics.refusals[std::string(name_of(code))];
    proxy_answer reply;
    reply.request = number;
    reply.kind = request->answering ? proxy_answer_kind::aborted
                                    : proxy_answer_kind::refused;
    reply.status = http_status(code);
    reply.code = code;
    reply.message = message;
    reply.retry_after = retry_after;
    log_request_end(w, log_level::warning, *request, "request_failed",
                    {{"code", std::string(name_of(code))},
                     {"reason", message},
                     {"runs", std::to_string(request->runs)},
                     {"sends", std::to_string(request->sends)},
                     {"answering", request->answering ? "true" : "false"},
                     {"retry_after_ms",
                      retry_after ? milliseconds_text(*retry_after) : ""}},
                    true);
    answer(w, std::move(reply));
    count_request_end(w, *request, false, true);
    ++w.proxy.metrics.requests[request->answering ? "cut" : "refused"];
    remove_proxied_request(w, number);
}

void fail_proxied_request(world &w, request_number number,
                          std::string const &message)
{
    auto const *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    bool const late = w.now >= request->expires_at;
    if (request->runs > 0)
    {
        refuse_proxied_request(w, number,
                               late ? result_code::deadline_exceeded
                                    : result_code::endpoint_failed,
                               message);
        return;
    }
    refuse_proxied_request(w, number, result_code::no_endpoint, message,
                           time_until_available(w, request->service) +
                               spread_retry_after(w, seconds(1)));
}

void finish_proxied_request(world &w, request_number number,
                            std::string const &outcome)
{
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    auto const first = request->first_event_at.value_or(w.now);
    w.proxy.metrics.first_event.add(first - request->arrived_at);
    ++w.proxy.metrics.requests[outcome];
    auto const &route = *request->route;
    bool const paused = route.max_event_gap &&
                        request->longest_event_gap > *route.max_event_gap;
    bool const late =
        first - request->arrived_at > route.target_latency || paused;
    count_request_end(w, *request, late, false);
    log_request_end(
        w, log_level::info, *request, "request_finished",
        {{"outcome", outcome},
         {"first_event_ms", milliseconds_text(first - request->arrived_at)},
         {"target_ms", milliseconds_text(route.target_latency)},
         {"longest_pause_ms", milliseconds_text(request->longest_event_gap)},
         {"late", late ? "true" : "false"},
         {"sends", std::to_string(request->sends)},
         {"instance", request->tried_instances.empty()
                          ? ""
                          : request->tried_instances.back()},
         {"framing",
          request->head ? std::string(name_of(request->head->framing)) : ""},
         {"resumes", std::to_string(request->resumes)},
         {"last_event", request->last_event}},
        late || outcome != "answered");
    remove_proxied_request(w, number);
}

bool retry_proxied_request(world &w, proxy_request_state &request, bool extra,
                           duration pause, std::string const &reason)
{
    auto &proxy = w.proxy;
    auto const next = w.now + pause;
    bool const allowed =
        next < request.expires_at &&
        request.runs < request.route->max_attempts &&
        request.sends < request.route->max_attempts + max_refused_calls;
    if (!allowed)
    {
        return false;
    }
    if (extra && !proxy.budgets[request.service].reserve(
                     w.now, proxy.limits.retries, proxy.effective_fleet_size()))
    {
        ++proxy.metrics.retries_denied;
        buffer_request_log(w, request, "retry_denied",
                           {{"reason", reason},
                            {"daemons", std::to_string(proxy.daemons.size())}});
        return false;
    }
    ++proxy.metrics.retries;
    request.retry_reserved = extra;
    request.not_before = next;
    proxy.waiting.push_back(request.number);
    buffer_request_log(w, request, "request_retried",
                       {{"reason", reason},
                        {"runs", std::to_string(request.runs)},
                        {"sends", std::to_string(request.sends)},
                        {"resume_after", request.last_event}});
    return true;
}

} // namespace agateledge
