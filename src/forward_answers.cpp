#include "forward_answers.hpp"

#include "claim_calls.hpp"
#include "hand_over_prefill.hpp"
#include "request_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr duration retry_delay = milliseconds(20);

void retry_elsewhere(world &w, request_state &request, attempt_number attempt)
{
    end_attempt(w, attempt);
    ++w.totals.retries;
    request.not_before = w.now + retry_delay;
    requeue_request(w, request);
}

void end_prefill(world &w, attempt_state &attempt)
{
    auto &engine = w.engines.at(*attempt.engine);
    engine.own_prefill_tokens -= attempt.counted_prefill_tokens;
    attempt.counted_prefill_tokens = 0;
}

void forward_chunk(world &w, request_state &request, attempt_state &attempt,
                   engine_event const &event)
{
    if (event.offset != attempt.next_offset)
    {
        retry_elsewhere(w, request, attempt.attempt);
        return;
    }
    end_prefill(w, attempt);
    attempt.next_offset += event.tokens;
    attempt.last_progress_at = w.now;
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
    if (event.offset != attempt.next_offset)
    {
        retry_elsewhere(w, request, attempt.attempt);
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
    case engine_event_kind::failed_after_send:
        retry_elsewhere(w, *request, attempt->attempt);
        return;
    }
}

void finish_call(world &w, request_state &request, service_reply const &reply)
{
    auto const number = request.arrival.request;
    if (!request.arrival.idempotent)
    {
        record_outcome(w, request, reply.http_status, reply.body);
    }
    caller_reply out;
    out.request = number;
    out.kind = caller_reply_kind::finished;
    out.http_status = reply.http_status;
    out.text = reply.body;
    w.out.caller_replies.push_back(std::move(out));
    end_attempt(w, reply.attempt);
    finish_request(w, number);
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
    if (request->arrival.idempotent ||
        reply.kind == service_reply_kind::failed_before_send)
    {
        retry_elsewhere(w, *request, reply.attempt);
        return;
    }
    record_unknown(w, *request);
    refuse_request(w, request->arrival.request, result_code::outcome_unknown,
                   "the endpoint's answer was lost");
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
