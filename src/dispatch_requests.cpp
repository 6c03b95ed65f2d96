#include "dispatch_requests.hpp"

#include "claim_calls.hpp"
#include "hedge_calls.hpp"
#include "request_lifecycle.hpp"
#include "retry_requests.hpp"
#include "select_endpoint.hpp"
#include "select_engine.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

engine_call make_call(world const &w, request_state const &request,
                      attempt_state const &attempt)
{
    auto const &engine = w.engines.at(*attempt.engine).definition;
    auto const &arrival = request.arrival;
    engine_call call;
    call.attempt = attempt.attempt;
    call.engine = engine.name;
    call.address = engine.address;
    call.stream_key = attempt.stream_key;
    call.model = arrival.model;
    call.body = arrival.body;
    call.generated_tokens = attempt.next_offset;
    if (call.generated_tokens > 0 && !attempt.attached)
    {
        call.generated_text = request.delivered_text;
    }
    call.attach = attempt.attached;
    call.prompt_tokens = arrival.prompt_tokens;
    call.prefix_hashes = arrival.prefix_hashes;
    call.prefix_block_tokens = arrival.prefix_block_tokens;
    call.max_output_tokens = arrival.max_output_tokens;
    call.priority = request.kind.priority;
    call.seed = arrival.seed;
    return call;
}

void announce(world &w, request_state &request, attempt_state const &attempt)
{
    request.accepted = true;
    caller_reply reply;
    reply.request = request.arrival.request;
    reply.kind = caller_reply_kind::accepted;
    reply.stream_key = attempt.stream_key;
    reply.engine = w.engines.at(*attempt.engine).definition.name;
    reply.offset = request.delivered_tokens;
    w.out.caller_replies.push_back(std::move(reply));
}

/// @return true when the request is sent to the engine of its running stream
bool attach_to_engine(world &w, request_state &request)
{
    auto const stream = std::exchange(request.reattach, std::nullopt);
    auto const engine = w.engines.find(stream->engine);
    if (!engine || !w.engines.at(*engine).configured)
    {
        return false;
    }
    auto const &attempt = begin_attached_attempt(w, request, *engine, *stream);
    announce(w, request, attempt);
    w.out.engine_calls.push_back(make_call(w, request, attempt));
    return true;
}

bool send_to_engine(world &w, request_state &request)
{
    if (request.reattach && attach_to_engine(w, request))
    {
        return true;
    }
    auto const engine = select_engine(w, request);
    if (!engine || !may_start_attempt(w, request))
    {
        return false;
    }
    auto const &attempt = begin_engine_attempt(w, request, *engine);
    announce(w, request, attempt);
    w.out.engine_calls.push_back(make_call(w, request, attempt));
    return true;
}

bool send_to_endpoint(world &w, request_state &request)
{
    auto const endpoint = select_endpoint(w, request);
    if (!endpoint)
    {
        return false;
    }
    if (!request.arrival.idempotent && !holds_claim(w, request))
    {
        begin_claim(w, request);
        return true;
    }
    if (!may_start_attempt(w, request))
    {
        return false;
    }
    call_endpoint(w, request, *endpoint);
    return true;
}

bool dispatch(world &w, request_state &request)
{
    if (request.arrival.service.empty())
    {
        return send_to_engine(w, request);
    }
    if (asks_for_outcome(request.arrival))
    {
        begin_outcome_query(w, request);
        return true;
    }
    return send_to_endpoint(w, request);
}

bool deadline_passed(world const &w, request_state const &request)
{
    auto const deadline = request.kind.finish_deadline;
    return deadline.count() > 0 && !request.kind.may_wait &&
           !request.accepted && w.now - request.arrived_at > deadline;
}

/// @return true when the request leaves the queue
bool step(world &w, request_number number)
{
    auto *request = w.requests.find(number);
    if (request == nullptr || request->phase != request_phase::waiting)
    {
        return true;
    }
    if (deadline_passed(w, *request))
    {
        bool const not_sent =
            request->attempts == 0 || !request->arrival.idempotent;
        refuse_request(w, number,
                       not_sent ? result_code::no_endpoint
                                : result_code::deadline_exceeded,
                       "nothing took the request before its deadline");
        return true;
    }
    if (request->not_before > w.now)
    {
        wake_at(w, request->not_before);
        return false;
    }
    return dispatch(w, *request);
}

} // namespace

void dispatch_requests(world &w)
{
    auto waiting = std::exchange(w.waiting, {});
    std::erase_if(waiting,
                  [&w](request_number number) { return step(w, number); });
    w.waiting.insert(w.waiting.begin(), waiting.begin(), waiting.end());
    if (!w.waiting.empty())
    {
        constexpr duration poll_interval = milliseconds(20);
        wake_at(w, w.now + poll_interval);
    }
}

} // namespace agateledge
