#include "advance_relays.hpp"

#include "event_text.hpp"
#include "log_relay.hpp"
#include "predict_first_event.hpp"
#include "predict_pause.hpp"
#include "relay_lifecycle.hpp"
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

bool is_stream(relay_state_entry const &request)
{
    return request.route->kind == route_kind::streaming && request.head &&
           is_success(request.head->status);
}

void count_call(world &w, std::string const &result)
{
    ++w.relay.metrics.calls[result];
}

/// Queues the request for another call, or fails it when none is allowed.
///
/// @param arrived the failed call reached an instance, so that the next one
///        counts against the retry budget
/// @param pause back-off before the next call
void try_again(world &w, request_number number, bool arrived, duration pause,
               std::string const &reason)
{
    auto *request = w.relay.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    request->head.reset();
    request->body.clear();
    request->partial_event.clear();
    bool const may_repeat = request->runs == 0 || request->route->repeatable();
    bool const may_resume = !request->answering || request->route->resumable;
    if (may_repeat && may_resume &&
        retry_relay(w, *request, arrived, pause, reason))
    {
        w.relay.metrics.resumed_streams += request->answering ? 1 : 0;
        return;
    }
    fail_relay(w, number, reason);
}

void call_failed(world &w, relay_attempt const &attempt, bool sent,
                 std::string const &reason)
{
    auto const number = attempt.request;
    auto const instance = attempt.instance;
    bool const prefill = attempt.stage == relay_stage::prefill;
    count_call(w, sent ? "failed_after_send" : "failed_before_send");
    cancel_attempt(w, attempt.attempt, call_result::failed);
    auto *request = w.relay.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    buffer_request_log(w, *request, "call_failed",
                       {{"instance", instance},
                        {"sent", sent ? "true" : "false"},
                        {"stage", prefill ? "prefill" : "run"},
                        {"reason", reason}});
    if (!sent)
    {
        request->runs -= prefill ? 0 : 1;
        --request->sends;
    }
    request->prefill_failed |= prefill && sent;
    // The handle may have been used, so it is not offered again; an unused KV
    // cache expires on the engine that holds it.
    request->kept.reset();
    try_again(w, number, sent, duration(0), reason);
}

void call_refused(world &w, relay_attempt const &attempt,
                  relay_reply_head const &head)
{
    auto const number = attempt.request;
    auto const id = attempt.instance;
    bool const prefill = attempt.stage == relay_stage::prefill;
    count_call(w, "refused");
    cancel_attempt(w, attempt.attempt, call_result::neutral);
    auto *instance = w.relay.instances.find(id);
    if (head.wrong_instance && instance != nullptr)
    {
        instance->address_reused = true;
    }
    auto *request = w.relay.requests.find(number);
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
    request->prefill_failed |= prefill || request->kept.has_value();
    release_kept_prefill(w, *request);
    try_again(w, number, true, refusal_backoff,
              "the instance refused the call with status " +
                  std::to_string(head.status));
}

void take_head(world &w, relay_attempt const &attempt,
               std::shared_ptr<relay_reply_head const> const &head)
{
    if (head->foreign)
    {
        call_failed(w, attempt, true, "the reply belongs to another request");
        return;
    }
    if (head->not_run)
    {
        call_refused(w, attempt, *head);
        return;
    }
    if (is_success(head->status) && !head->is_signed &&
        attempt.stage == relay_stage::run)
    {
        call_failed(w, attempt, true,
                    "the reply is not signed by the instance");
        return;
    }
    if (auto *request = w.relay.requests.find(attempt.request))
    {
        request->head = head;
    }
}

/// Updates the predictions for the instance from the first bytes of a reply.
void record_first_bytes(world &w, relay_attempt &attempt)
{
    if (std::exchange(attempt.answered, true))
    {
        return;
    }
    auto *instance = w.relay.instances.find(attempt.instance);
    if (instance == nullptr || !instance->open_calls.contains(attempt.attempt))
    {
        return;
    }
    instance->unread_tokens -= attempt.unread_tokens;
    if (auto const *request = w.relay.requests.find(attempt.request))
    {
        instance->cache.confirm(request->chain);
    }
    update_first_event_estimate(w, *instance, attempt.sent_at,
                                attempt.predicted, attempt.unread_tokens,
                                attempt.calls_before == 0);
    w.relay.metrics.late_by.add(
        std::max(w.now - attempt.sent_at - attempt.predicted, duration(0)));
}

void begin_answer(world &w, relay_state_entry &request)
{
    if (std::exchange(request.answering, true))
    {
        return;
    }
    request.first_event_at = w.now;
    relay_answer answer;
    answer.request = request.number;
    answer.kind = relay_answer_kind::begin;
    answer.status = request.head->status;
    answer.headers = request.head->headers;
    answer.close_connection = w.relay.stopping_since.has_value();
    w.out.relay_answers.push_back(std::move(answer));
}

void record_event_time(world &w, relay_attempt const &attempt,
                       relay_state_entry &request)
{
    auto const last = std::exchange(request.last_event_at, w.now);
    if (last == instant{})
    {
        return;
    }
    auto const pause = w.now - last;
    request.longest_pause = std::max(request.longest_pause, pause);
    if (auto *instance = w.relay.instances.find(attempt.instance))
    {
        update_pause_estimate(w, *instance, pause);
    }
}

void forward_events(world &w, relay_attempt const &attempt,
                    relay_state_entry &request)
{
    auto events = take_new_events(request.partial_event, request.last_event);
    if (events.empty())
    {
        return;
    }
    begin_answer(w, request);
    record_event_time(w, attempt, request);
    relay_answer answer;
    answer.request = request.number;
    answer.kind = relay_answer_kind::part;
    answer.bytes = std::move(events);
    w.out.relay_answers.push_back(std::move(answer));
}

void take_bytes(world &w, relay_attempt &attempt, std::string const &bytes)
{
    auto *request = w.relay.requests.find(attempt.request);
    if (request == nullptr || !request->head)
    {
        return;
    }
    record_first_bytes(w, attempt);
    if (is_stream(*request))
    {
        request->partial_event += bytes;
        forward_events(w, attempt, *request);
    }
    else
    {
        request->body += bytes;
    }
    if (request->partial_event.size() > max_event_bytes ||
        request->body.size() > max_answer_bytes)
    {
        call_failed(w, attempt, true, "the reply exceeds the size limit");
    }
}

void end_stream(world &w, relay_state_entry &request)
{
    begin_answer(w, request);
    relay_answer answer;
    answer.request = request.number;
    answer.kind = relay_answer_kind::end;
    w.out.relay_answers.push_back(std::move(answer));
    finish_relay(w, request.number, "answered");
}

void forward_complete_answer(world &w, relay_state_entry &request)
{
    request.first_event_at = w.now;
    relay_answer answer;
    answer.request = request.number;
    answer.kind = relay_answer_kind::whole;
    answer.status = request.head->status;
    answer.headers = request.head->headers;
    answer.bytes = std::move(request.body);
    answer.close_connection = w.relay.stopping_since.has_value();
    bool const success = is_success(answer.status);
    w.out.relay_answers.push_back(std::move(answer));
    finish_relay(w, request.number, success ? "answered" : "endpoint_error");
}

/// Retries the call, fails the request, or forwards the error reply.
void handle_error_reply(world &w, relay_state_entry &request)
{
    auto const status = request.head->status;
    bool const again = status >= first_server_error &&
                       request.route->repeatable() &&
                       retry_relay(w, request, true, duration(0),
                                   "the instance replied with status " +
                                       std::to_string(status));
    if (again)
    {
        request.head.reset();
        request.body.clear();
        return;
    }
    if (request.answering || means_not_run(status))
    {
        fail_relay(w, request.number,
                   "the instance replied with status " +
                       std::to_string(status));
        return;
    }
    forward_complete_answer(w, request);
}

void take_end(world &w, relay_attempt &attempt)
{
    auto *request = w.relay.requests.find(attempt.request);
    if (request == nullptr || !request->head)
    {
        call_failed(w, attempt, true, "the reply ended before its head");
        return;
    }
    if (is_stream(*request) && !request->partial_event.empty())
    {
        call_failed(w, attempt, true,
                    "the stream ended in the middle of an event");
        return;
    }
    record_first_bytes(w, attempt);
    bool const success = is_success(request->head->status);
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
    if (is_stream(*request))
    {
        end_stream(w, *request);
        return;
    }
    forward_complete_answer(w, *request);
}

void handle_event(world &w, relay_event const &event)
{
    auto *attempt = w.relay.requests.find(event.attempt);
    if (attempt == nullptr)
    {
        return;
    }
    switch (event.kind)
    {
    case relay_event_kind::head:
        take_head(w, *attempt, event.head);
        return;
    case relay_event_kind::bytes:
        take_bytes(w, *attempt, event.bytes);
        return;
    case relay_event_kind::finished:
        take_end(w, *attempt);
        return;
    case relay_event_kind::failed_before_send:
        call_failed(w, *attempt, false, "could not connect to the instance");
        return;
    case relay_event_kind::failed_after_send:
        call_failed(
            w, *attempt, true,
            "the connection failed after the request may have been sent");
        return;
    }
}

void handle_prefill_result(world &w, prefill_result const &result)
{
    auto *attempt = w.relay.requests.find(result.attempt);
    if (attempt == nullptr)
    {
        return;
    }
    auto *request = w.relay.requests.find(attempt->request);
    auto const *instance = w.relay.instances.find(attempt->instance);
    if (request == nullptr || instance == nullptr || result.handle.empty())
    {
        call_failed(w, *attempt, true, "the prefill reply has no KV handle");
        return;
    }
    record_first_bytes(w, *attempt);
    count_call(w, "prefilled");
    ++w.relay.metrics.prefill_handovers;
    request->kept = kept_prefill{attempt->instance,
                                 instance->definition.address, result.handle};
    close_attempt(w, result.attempt, call_result::succeeded);
    w.relay.waiting.push_back(request->number);
    buffer_request_log(w, *request, "prompt_read",
                       {{"instance", request->kept->instance}});
}

} // namespace

void advance_relays(world &w)
{
    std::ranges::for_each(w.in.relay_events, [&w](relay_event const &event)
                          { handle_event(w, event); });
    std::ranges::for_each(w.in.prefill_results,
                          [&w](prefill_result const &result)
                          { handle_prefill_result(w, result); });
}

} // namespace agateledge
