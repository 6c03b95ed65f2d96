#include "request_lifecycle.hpp"

#include "claim_calls.hpp"
#include "estimate_load.hpp"
#include "internal_assert.hpp"
#include "record_decision.hpp"
#include "retry_requests.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

void count_engine_load(world &w, attempt_state const &attempt, int sign)
{
    auto &engine = w.engines.at(*attempt.engine);
    engine.local_requests += sign;
    engine.local_prefill_tokens += sign * attempt.counted_prefill_tokens;
    engine.local_kv_tokens += sign * attempt.counted_kv_tokens;
    internal_assert(engine.local_requests >= 0, "engine ",
                    engine.definition.name, " has ", engine.local_requests,
                    " open requests");
}

bool met_deadlines(world const &w, request_state const &request)
{
    auto const &kind = request.kind;
    auto const elapsed = w.now - request.arrived_at;
    if (kind.finish_deadline.count() > 0 && elapsed > kind.finish_deadline)
    {
        return false;
    }
    if (kind.first_token_deadline.count() == 0 || !request.first_token_at)
    {
        return true;
    }
    return *request.first_token_at - request.arrived_at <=
           kind.first_token_deadline;
}

attempt_state new_attempt(world &w, request_state &request)
{
    attempt_state attempt;
    attempt.attempt = w.attempts.next_number();
    attempt.request = request.arrival.request;
    attempt.stream_key = stream_key_of(w, attempt.attempt);
    attempt.started_at = w.now;
    attempt.last_progress_at = w.now;
    attempt.next_offset = request.delivered_tokens;
    auto &slot = request.attempt ? request.hedge : request.attempt;
    slot = attempt.attempt;
    request.phase = request_phase::running;
    ++request.attempts;
    return attempt;
}

void count_refusal(world &w, request_state const &request, result_code code)
{
    if (request.accepted && code == result_code::daemon_draining)
    {
        ++w.totals.handed_over;
        return;
    }
    if (guarantees_not_run(code))
    {
        ++w.totals.refused_not_run;
        return;
    }
    if (code == result_code::outcome_unknown ||
        code == result_code::in_progress)
    {
        ++w.totals.outcome_unknown;
        return;
    }
    ++w.totals.failed;
}

} // namespace

std::string stream_key_of(world const &w, attempt_number attempt)
{
    return w.identity.name + ":" +
           std::to_string(w.identity.incarnation.value()) + ":" +
           std::to_string(attempt.value());
}

attempt_state &begin_engine_attempt(world &w, request_state &request,
                                    engine_index engine)
{
    auto attempt = new_attempt(w, request);
    attempt.engine = engine;
    // An engine can continue only an answer whose full text is known. Otherwise
    // it generates the answer again, and the part already delivered is dropped.
    if (request.text_offset > 0)
    {
        attempt.next_offset = 0;
    }
    auto const &arrival = request.arrival;
    attempt.backlog_tokens = estimate_load(w, engine).prefill_tokens;
    // An imported KV cache leaves no prompt to compute.
    attempt.counted_prefill_tokens =
        request.kv_key.empty() ? arrival.prompt_tokens : 0;
    attempt.counted_kv_tokens =
        arrival.prompt_tokens +
        static_cast<std::int64_t>(w.costs.expected_output(
            request.kind.name, request.kind.expected_output_tokens));
    count_engine_load(w, attempt, 1);
    plan_progress_check(w, attempt.attempt);
    record_attempt(w, attempt.request, engine);
    return w.attempts.add(std::move(attempt));
}

attempt_state &begin_attached_attempt(world &w, request_state &request,
                                      engine_index engine,
                                      resume_point const &stream)
{
    auto attempt = new_attempt(w, request);
    attempt.engine = engine;
    attempt.stream_key = stream.stream_key;
    attempt.attached = true;
    count_engine_load(w, attempt, 1);
    plan_progress_check(w, attempt.attempt);
    record_attempt(w, attempt.request, engine);
    return w.attempts.add(std::move(attempt));
}

attempt_state &begin_service_attempt(world &w, request_state &request,
                                     endpoint_index endpoint)
{
    auto attempt = new_attempt(w, request);
    attempt.endpoint = endpoint;
    ++w.endpoints.at(endpoint).local_requests;
    record_attempt(w, attempt.request, endpoint);
    return w.attempts.add(std::move(attempt));
}

void end_attempt(world &w, attempt_number number)
{
    auto *attempt = w.attempts.find(number);
    if (attempt == nullptr)
    {
        return;
    }
    if (attempt->engine)
    {
        count_engine_load(w, *attempt, -1);
    }
    else
    {
        --w.endpoints.at(*attempt->endpoint).local_requests;
    }
    auto *request = w.requests.find(attempt->request);
    if (request != nullptr && request->attempt == number)
    {
        request->attempt = std::exchange(request->hedge, std::nullopt);
    }
    else if (request != nullptr && request->hedge == number)
    {
        request->hedge.reset();
    }
    w.attempts.erase(number);
}

void end_attempts(world &w, request_state &request)
{
    while (request.attempt)
    {
        end_attempt(w, *request.attempt);
    }
}

void cancel_attempt(world &w, attempt_state const &attempt)
{
    auto const &engine = w.engines.at(*attempt.engine).definition;
    w.out.attempt_cancels.push_back(
        {attempt.attempt, engine.name, engine.address, attempt.stream_key});
    end_attempt(w, attempt.attempt);
}

void refuse_request(world &w, request_number number, result_code code,
                    std::string message)
{
    auto *request = w.requests.find(number);
    internal_assert(request != nullptr, "refuse_request: no open request ",
                    number.value());
    internal_assert(
        !guarantees_not_run(code) || !may_have_run(w, number) ||
            w.faults.refuse_after_send,
        "request ", number.value(),
        " may have run but is refused with a code that states the contrary: ",
        name_of(code));
    end_attempts(w, *request);
    settle_unanswered(w, number);
    count_refusal(w, *request, code);
    record_step(w, number, decision_kind::refused, code);
    w.out.caller_replies.push_back(
        {number, caller_reply_kind::refused, code, std::move(message)});
    w.requests.erase(number);
}

void finish_request(world &w, request_number number)
{
    auto *request = w.requests.find(number);
    internal_assert(request != nullptr, "finish_request: no open request ",
                    number.value());
    end_attempts(w, *request);
    ++w.totals.answered;
    record_step(w, number, decision_kind::finished, result_code::ok);
    w.totals.answered_in_time += met_deadlines(w, *request) ? 1 : 0;
    w.requests.erase(number);
}

void requeue_request(world &w, request_state &request)
{
    request.phase = request_phase::waiting;
    record_step(w, request.arrival.request, decision_kind::requeued,
                result_code::ok);
    w.waiting.push_front(request.arrival.request);
}

} // namespace agateledge
