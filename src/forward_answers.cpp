#include "forward_answers.hpp"

#include "claim_calls.hpp"
#include "hand_over_prefill.hpp"
#include "hedge_calls.hpp"
#include "request_lifecycle.hpp"
#include "retry_requests.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

void release_prefill_load(world &w, attempt_state &attempt)
{
    auto &engine = w.engines.at(*attempt.engine);
    engine.local_prefill_tokens -= attempt.counted_prefill_tokens;
    attempt.counted_prefill_tokens = 0;
}

/// @return true when the chunk follows the attempt's last one and is either a
///         repetition of delivered tokens or begins right after them
bool is_contiguous(request_state const &request, attempt_state const &attempt,
                   engine_event const &event)
{
    int const end = event.offset + event.tokens;
    bool const delivered = end <= request.delivered_tokens;
    return event.offset == attempt.next_offset &&
           (delivered || event.offset == request.delivered_tokens);
}

void record_progress(world &w, attempt_state &attempt, int tokens)
{
    release_prefill_load(w, attempt);
    attempt.next_offset += tokens;
    attempt.last_progress_at = w.now;
    if (!attempt.first_token_at)
    {
        attempt.first_token_at = w.now;
    }
}

void forward_chunk(world &w, request_state &request, attempt_state &attempt,
                   engine_event const &event)
{
    if (event.offset + event.tokens <= attempt.next_offset)
    {
        ++w.totals.events_dropped;
        return;
    }
    if (!is_contiguous(request, attempt, event))
    {
        lose_attempt(w, request, attempt.attempt, attempt_loss::interrupted);
        return;
    }
    record_progress(w, attempt, event.tokens);
    if (attempt.next_offset <= request.delivered_tokens)
    {
        return;
    }
    if (!request.first_token_at)
    {
        request.first_token_at = w.now;
    }
    caller_reply reply;
    reply.request = request.arrival.request;
    reply.kind = caller_reply_kind::chunk;
    reply.offset = request.delivered_tokens;
    reply.tokens = event.tokens;
    reply.text = event.text;
    request.delivered_tokens += event.tokens;
    request.delivered_text += event.text;
    w.out.caller_replies.push_back(std::move(reply));
}

void finish_stream(world &w, request_state &request, attempt_state &attempt,
                   engine_event const &event)
{
    if (event.offset != attempt.next_offset ||
        event.offset < request.delivered_tokens)
    {
        lose_attempt(w, request, attempt.attempt, attempt_loss::interrupted);
        return;
    }
    auto const number = request.arrival.request;
    caller_reply reply;
    reply.request = number;
    reply.kind = caller_reply_kind::finished;
    reply.offset = request.delivered_tokens;
    w.out.caller_replies.push_back(std::move(reply));
    end_attempt(w, attempt.attempt);
    finish_request(w, number);
}

void handle_engine_event(world &w, engine_event const &event)
{
    auto *attempt = w.attempts.find(event.attempt);
    if (attempt == nullptr)
    {
        ++w.totals.events_dropped;
        return;
    }
    auto *request = w.requests.find(attempt->request);
    switch (event.kind)
    {
    case engine_event_kind::chunk:
        forward_chunk(w, *request, *attempt, event);
        return;
    case engine_event_kind::finished:
        finish_stream(w, *request, *attempt, event);
        return;
    case engine_event_kind::prefilled:
        hand_over_prefill(w, *request, *attempt);
        return;
    case engine_event_kind::refused:
    case engine_event_kind::failed_before_send:
        lose_attempt(w, *request, event.attempt, attempt_loss::not_started);
        return;
    case engine_event_kind::failed_after_send:
        lose_attempt(w, *request, event.attempt, attempt_loss::interrupted);
        return;
    }
}

void finish_call(world &w, request_state &request, service_reply const &reply)
{
    auto const number = request.arrival.request;
    settle_done(w, number, reply.http_status, reply.body);
    record_call_latency(w, request, *w.attempts.find(reply.attempt));
    caller_reply out;
    out.request = number;
    out.kind = caller_reply_kind::finished;
    out.http_status = reply.http_status;
    out.text = reply.body;
    w.out.caller_replies.push_back(std::move(out));
    end_attempt(w, reply.attempt);
    finish_request(w, number);
}

void fail_call(world &w, request_state &request, service_reply const &reply)
{
    if (reply.kind == service_reply_kind::failed_before_send)
    {
        mark_sent(w, request.arrival.request, false);
        lose_attempt(w, request, reply.attempt, attempt_loss::not_started);
        return;
    }
    if (request.arrival.idempotent)
    {
        lose_attempt(w, request, reply.attempt, attempt_loss::interrupted);
        return;
    }
    refuse_request(w, request.arrival.request,
                   w.faults.refuse_after_send ? result_code::no_endpoint
                                              : result_code::outcome_unknown,
                   "the endpoint was sent the call but returned no complete "
                   "answer");
}

void handle_service_reply(world &w, service_reply const &reply)
{
    auto *attempt = w.attempts.find(reply.attempt);
    if (attempt == nullptr)
    {
        ++w.totals.events_dropped;
        return;
    }
    auto *request = w.requests.find(attempt->request);
    if (reply.kind == service_reply_kind::answered)
    {
        finish_call(w, *request, reply);
        return;
    }
    fail_call(w, *request, reply);
}

} // namespace

void forward_answers(world &w)
{
    std::ranges::for_each(w.in.engine_events, [&w](engine_event const &event)
                          { handle_engine_event(w, event); });
    std::ranges::for_each(w.in.service_replies, [&w](service_reply const &reply)
                          { handle_service_reply(w, reply); });
}

} // namespace agateledge
