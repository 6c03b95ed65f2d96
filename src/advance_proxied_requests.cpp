#include "advance_proxied_requests.hpp"

#include "choose_calls_over_memory.hpp"
#include "count_usage.hpp"
#include "event_number.hpp"
#include "extract_new_events.hpp"
#include "log_proxied_request.hpp"
#include "predict_event_gap.hpp"
#include "predict_first_event.hpp"
#include "proxy_lifecycle.hpp"
#include "track_engine_losses.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_ok = 200;
constexpr int first_redirect_status = 300;
constexpr int first_server_error = 500;
constexpr int http_request_timeout = 408;
constexpr int http_misdirected = 421;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;

/// Maximum size of an answer that is buffered before it is forwarded.
constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;

/// Maximum size of the body of an error reply.
constexpr std::size_t max_error_bytes = std::size_t{256} << 10;

/// Maximum size of one event of a stream.
constexpr std::size_t max_event_bytes = std::size_t{1} << 20;

/// Back-off before a request that an overloaded instance refused is sent to
/// another one.
constexpr duration refusal_backoff = milliseconds(5);

bool is_success(int status)
{
    return status >= http_ok && status < first_redirect_status;
}

/// @return true for a status that means to callers that the request did not run
bool means_not_run(int status)
{
    return status == http_request_timeout || status == http_misdirected ||
           status == http_too_many_requests || status == http_unavailable;
}

bool is_stream(proxy_request_state const &request)
{
    return request.route->kind == route_kind::streaming && request.head &&
           is_success(request.head->status);
}

/// @return true when a request that has reached an instance may be sent to a
///         further one
bool may_send_again(proxy_request_state const &request)
{
    bool const may_repeat = request.runs == 0 || request.route->can_retry();
    // A stream whose place is not known cannot be continued.
    bool const may_continue =
        !request.answering ||
        (request.route->resumable && event_number(request.last_event));
    return may_repeat && may_continue;
}

/// @return why the body of a reply must not go to the caller, who may have
///         received a part of the stream; empty when it may
std::string fault_of(proxy_request_state const &request,
                     proxy_reply_head const &head)
{
    if (!is_success(head.status))
    {
        return {};
    }
    if (!head.is_signed)
    {
        return "the reply is not signed by the instance";
    }
    bool const fits =
        !request.answering || (head.status == http_ok &&
                               head.is_event_stream == request.is_event_stream);
    return fits ? "" : "the reply does not continue the stream";
}

/// @return true when the end of the call's reply is the end of the stream
bool completes_stream(proxy_request_state const &request,
                      proxy_attempt const &attempt)
{
    if (attempt.events > 0 || !request.head->is_event_stream)
    {
        return true;
    }
    // No event may be left after the last one. The end of a connection does not
    // state that, because it may as well be a failure.
    return !request.last_event.empty() &&
           request.head->framing != body_framing::connection;
}

void count_call(world &w, std::string const &result)
{
    ++w.proxy.metrics.calls[result];
}

/// Queues the request for another call, or fails it when none is allowed.
///
/// @param arrived the failed call reached an instance, so that the next one
///        counts against the retry budget
/// @param pause back-off before the next call
void retry_or_fail(world &w, request_number number, bool arrived,
                   duration pause, std::string const &reason)
{
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    request->head.reset();
    request->body.clear();
    request->partial_event = std::string();
    if (may_send_again(*request) &&
        retry_proxied_request(w, *request, arrived, pause, reason))
    {
        request->resumes += request->answering ? 1 : 0;
        w.proxy.metrics.resumed_streams += request->answering ? 1 : 0;
        return;
    }
    fail_proxied_request(w, number, reason);
}

/// @param pause back-off before the next call
void handle_call_failure(world &w, proxy_attempt const &attempt, bool sent,
                         std::string const &reason, duration pause = {})
{
    auto const number = attempt.request;
    auto const instance = attempt.instance;
    bool const prefill = attempt.stage == proxy_stage::prefill;
    count_call(w, sent ? "failed_after_send" : "failed_before_send");
    cancel_attempt(w, attempt.attempt, call_result::failed);
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    buffer_request_log(w, *request, "call_failed",
                       {{"instance", instance},
                        {"sent", sent ? "true" : "false"},
                        {"stage", prefill ? "prefill" : "run"},
                        {"reason", reason}});
    if (sent)
    {
        request->prefill_failed |= prefill;
        // The handle may have been used, so it is not offered again; an unused
        // KV cache expires on the engine that holds it.
        request->retained_prefill.reset();
    }
    else
    {
        request->runs -= prefill ? 0 : 1;
        --request->sends;
        count_call_not_run(w, *request);
    }
    retry_or_fail(w, number, sent, pause, reason);
}

void handle_call_refusal(world &w, proxy_attempt const &attempt,
                         proxy_reply_head const &head)
{
    auto const number = attempt.request;
    auto const id = attempt.instance;
    bool const prefill = attempt.stage == proxy_stage::prefill;
    count_call(w, "refused");
    cancel_attempt(w, attempt.attempt, call_result::neutral);
    auto *instance = w.proxy.instances.find(id);
    if (head.wrong_instance && instance != nullptr)
    {
        instance->address_reused = true;
    }
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    buffer_request_log(
        w, *request, "call_refused",
        {{"instance", id},
         {"status", std::to_string(head.status)},
         {"wrong_instance", head.wrong_instance ? "true" : "false"}});
    request->runs -= prefill ? 0 : 1;
    count_call_not_run(w, *request);
    request->prefill_failed |= prefill || request->retained_prefill.has_value();
    release_kept_prefill(w, *request);
    retry_or_fail(w, number, true, refusal_backoff,
                  "the instance refused the call with status " +
                      std::to_string(head.status));
}

/// Handles a call that ended with its connection before its reply was complete.
void handle_connection_failure(world &w, proxy_attempt const &attempt,
                               std::string const &reason)
{
    duration pause{};
    if (auto const *request = w.proxy.requests.find(attempt.request))
    {
        pause = record_connection_failure(w, attempt, *request);
    }
    handle_call_failure(w, attempt, true, reason, pause);
}

void handle_reply_head(world &w, proxy_attempt const &attempt,
                       std::shared_ptr<proxy_reply_head const> const &head)
{
    if (head->mismatched_attempt)
    {
        handle_call_failure(w, attempt, true,
                            "the reply belongs to another request");
        return;
    }
    if (head->not_run)
    {
        handle_call_refusal(w, attempt, *head);
        return;
    }
    if (is_success(head->status) && attempt.stage == proxy_stage::prefill)
    {
        return;
    }
    auto *request = w.proxy.requests.find(attempt.request);
    if (request == nullptr)
    {
        return;
    }
    auto const fault = fault_of(*request, *head);
    if (!fault.empty())
    {
        handle_call_failure(w, attempt, true, fault);
        return;
    }
    request->head = head;
}

/// Updates the predictions for the instance from the first bytes of a reply.
void record_first_bytes(world &w, proxy_attempt &attempt)
{
    if (std::exchange(attempt.answered, true))
    {
        return;
    }
    auto *instance = w.proxy.instances.find(attempt.instance);
    if (instance == nullptr || !instance->open_calls.contains(attempt.attempt))
    {
        return;
    }
    instance->add_unread_tokens(-attempt.unread_tokens, attempt.background);
    if (auto const *request = w.proxy.requests.find(attempt.request))
    {
        instance->cache.mark_prefilled(request->chain);
    }
    if (attempt.background)
    {
        // Its wait says nothing about the wait of calls that it yields to.
        return;
    }
    update_first_event_estimate(
        w, *instance, attempt.sent_at, attempt.predicted, attempt.unread_tokens,
        attempt.backlog_tokens, attempt.calls_before == 0);
    w.proxy.metrics.late_by.add(
        std::max(w.now - attempt.sent_at - attempt.predicted, duration(0)));
}

void begin_answer(world &w, proxy_request_state &request)
{
    if (std::exchange(request.answering, true))
    {
        return;
    }
    request.first_event_at = w.now;
    count_stream_start(w, request);
    request.is_event_stream = request.head->is_event_stream;
    proxy_answer answer;
    answer.request = request.number;
    answer.kind = proxy_answer_kind::begin;
    answer.status = request.head->status;
    answer.headers = request.head->headers;
    answer.close_connection = w.proxy.stopping_since.has_value();
    w.out.proxy_answers.push_back(std::move(answer));
}

void record_event_time(world &w, proxy_attempt const &attempt,
                       proxy_request_state &request)
{
    auto const last = std::exchange(request.last_event_at, w.now);
    if (last == instant{})
    {
        return;
    }
    auto const pause = w.now - last;
    request.longest_event_gap = std::max(request.longest_event_gap, pause);
    if (auto *instance = w.proxy.instances.find(attempt.instance))
    {
        update_pause_estimate(w, *instance, pause);
    }
}

/// Forwards the complete events of the reply.
///
/// @return false when the reply does not continue the stream
bool forward_events(world &w, proxy_attempt &attempt,
                    proxy_request_state &request)
{
    auto events = extract_new_events(request.partial_event, request.last_event,
                                     request.resumes > 0);
    if (!events.text.empty())
    {
        begin_answer(w, request);
        record_event_time(w, attempt, request);
        if (++attempt.events == min_events_of_sound_answer)
        {
            record_sound_answer(w, request);
        }
        proxy_answer answer;
        answer.request = request.number;
        answer.kind = proxy_answer_kind::body_chunk;
        answer.bytes = std::move(events.text);
        w.out.proxy_answers.push_back(std::move(answer));
    }
    return !events.unnumbered;
}

void handle_reply_bytes(world &w, proxy_attempt &attempt,
                        std::string const &bytes)
{
    auto *request = w.proxy.requests.find(attempt.request);
    if (request == nullptr || !request->head)
    {
        return;
    }
    record_first_bytes(w, attempt);
    if (is_stream(*request))
    {
        request->partial_event += bytes;
        if (!forward_events(w, attempt, *request))
        {
            handle_call_failure(w, attempt, true,
                                "the reply does not continue the stream");
            return;
        }
    }
    else
    {
        request->body.append(bytes);
    }
    w.proxy.reply_memory.received_bytes += bytes.size();
    auto const max_body_bytes =
        is_success(request->head->status) ? max_answer_bytes : max_error_bytes;
    if (request->partial_event.size() > max_event_bytes ||
        request->body.size() > max_body_bytes)
    {
        handle_call_failure(w, attempt, true,
                            "the reply exceeds the size limit");
    }
}

void end_stream(world &w, proxy_request_state &request)
{
    begin_answer(w, request);
    proxy_answer answer;
    answer.request = request.number;
    answer.kind = proxy_answer_kind::end;
    w.out.proxy_answers.push_back(std::move(answer));
    finish_proxied_request(w, request.number, "answered");
}

void forward_complete_answer(world &w, proxy_request_state &request)
{
    request.first_event_at = w.now;
    proxy_answer answer;
    answer.request = request.number;
    answer.kind = proxy_answer_kind::complete;
    answer.status = request.head->status;
    answer.headers = request.head->headers;
    answer.bytes = request.body.take();
    answer.close_connection = w.proxy.stopping_since.has_value();
    bool const success = is_success(answer.status);
    w.out.proxy_answers.push_back(std::move(answer));
    finish_proxied_request(w, request.number,
                           success ? "answered" : "endpoint_error");
}

/// Retries the call, fails the request, or forwards the error reply.
void handle_error_reply(world &w, proxy_request_state &request)
{
    auto const status = request.head->status;
    auto const reason =
        "the instance replied with status " + std::to_string(status);
    if (request.answering)
    {
        request.retained_prefill.reset();
        retry_or_fail(w, request.number, true, duration(0), reason);
        return;
    }
    bool const again =
        status >= first_server_error && request.route->can_retry() &&
        retry_proxied_request(w, request, true, duration(0), reason);
    if (again)
    {
        request.head.reset();
        request.body.clear();
        // The engine that replied has taken the KV cache.
        request.retained_prefill.reset();
        return;
    }
    if (means_not_run(status))
    {
        fail_proxied_request(w, request.number, reason);
        return;
    }
    forward_complete_answer(w, request);
}

void handle_reply_end(world &w, proxy_attempt &attempt)
{
    auto *request = w.proxy.requests.find(attempt.request);
    if (request == nullptr || !request->head)
    {
        handle_connection_failure(w, attempt,
                                  "the reply ended before its head");
        return;
    }
    if (is_stream(*request) && !request->partial_event.empty())
    {
        handle_connection_failure(w, attempt,
                                  "the stream ended in the middle of an event");
        return;
    }
    if (is_stream(*request) && !completes_stream(*request, attempt))
    {
        handle_connection_failure(w, attempt,
                                  "the stream ended without an event");
        return;
    }
    record_first_bytes(w, attempt);
    bool const success = is_success(request->head->status);
    if (success && request->head->framing == body_framing::connection &&
        attempt.events <= 1)
    {
        // The connection of an engine that crashes ends in the same way.
        record_connection_failure(w, attempt, *request);
    }
    count_call(w, success ? "answered" : "error");
    close_attempt(w, attempt.attempt,
                  request->head->status >= first_server_error
                      ? call_result::failed
                      : call_result::succeeded);
    if (!success)
    {
        handle_error_reply(w, *request);
        return;
    }
    if (request->head->framing != body_framing::connection)
    {
        record_sound_answer(w, *request);
    }
    if (is_stream(*request))
    {
        end_stream(w, *request);
        return;
    }
    forward_complete_answer(w, *request);
}

void record_activity(world &w, proxy_attempt const &attempt,
                     proxy_event_kind kind)
{
    bool const received = kind == proxy_event_kind::head ||
                          kind == proxy_event_kind::bytes ||
                          kind == proxy_event_kind::finished;
    auto *instance = w.proxy.instances.find(attempt.instance);
    if (received && instance != nullptr)
    {
        instance->heard_at = w.now;
    }
}

void handle_event(world &w, proxy_event const &event)
{
    auto *attempt = w.proxy.requests.find(event.attempt);
    if (attempt == nullptr)
    {
        return;
    }
    record_activity(w, *attempt, event.kind);
    switch (event.kind)
    {
    case proxy_event_kind::head:
        handle_reply_head(w, *attempt, event.head);
        return;
    case proxy_event_kind::bytes:
        handle_reply_bytes(w, *attempt, event.bytes);
        return;
    case proxy_event_kind::finished:
        handle_reply_end(w, *attempt);
        return;
    case proxy_event_kind::failed_before_send:
        handle_call_failure(w, *attempt, false,
                            "could not connect to the instance");
        return;
    case proxy_event_kind::failed_after_send:
        handle_connection_failure(
            w, *attempt,
            "the connection failed after the request may have been sent");
        return;
    case proxy_event_kind::truncated:
        ++w.proxy.metrics.truncated_replies;
        handle_connection_failure(
            w, *attempt,
            "the connection was closed before the end of the reply");
        return;
    case proxy_event_kind::malformed:
        ++w.proxy.metrics.malformed_replies;
        handle_connection_failure(w, *attempt,
                                  "the reply is not a valid HTTP message");
        return;
    }
}

void handle_prefill_result(world &w, prefill_result const &result)
{
    auto *attempt = w.proxy.requests.find(result.attempt);
    if (attempt == nullptr)
    {
        return;
    }
    auto *request = w.proxy.requests.find(attempt->request);
    auto const *instance = w.proxy.instances.find(attempt->instance);
    if (request == nullptr || instance == nullptr || result.handle.empty())
    {
        handle_call_failure(w, *attempt, true,
                            "the prefill reply has no KV handle");
        return;
    }
    record_first_bytes(w, *attempt);
    count_call(w, "prefilled");
    ++w.proxy.metrics.prefill_handovers;
    request->prefilled = true;
    request->retained_prefill = kept_prefill{
        attempt->instance, instance->definition.address, result.handle};
    close_attempt(w, result.attempt, call_result::succeeded);
    w.proxy.waiting.push_back(request->number);
    buffer_request_log(w, *request, "prompt_read",
                       {{"instance", request->retained_prefill->instance}});
}

void drop_replies_over_memory(world &w)
{
    std::ranges::for_each(choose_calls_over_memory(w),
                          [&w](attempt_number number)
                          {
                              ++w.proxy.metrics.dropped_replies;
                              handle_call_failure(
                                  w, *w.proxy.requests.find(number), true,
                                  "the memory for replies is used up");
                          });
}

} // namespace

void advance_proxied_requests(world &w)
{
    std::ranges::for_each(w.in.proxy_events, [&w](proxy_event const &event)
                          { handle_event(w, event); });
    std::ranges::for_each(w.in.prefill_results,
                          [&w](prefill_result const &result)
                          { handle_prefill_result(w, result); });
    drop_replies_over_memory(w);
}

} // namespace agateledge
