#include "dispatch_requests.hpp"

#include "apply_configuration.hpp"
#include "claim_calls.hpp"
#include "request_lifecycle.hpp"
#include "select_endpoint.hpp"
#include "select_engine.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Time after which a plain service's call counts as failed, when the class
/// has no finish deadline.
constexpr duration default_call_timeout = seconds(10);

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
    call.generated_text = request.delivered_text;
    call.generated_tokens = request.delivered_tokens;
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

bool send_to_engine(world &w, request_state &request)
{
    auto const engine = select_engine(w, request);
    if (!engine)
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
    auto const &attempt = begin_service_attempt(w, request, *endpoint);
    auto const &definition = w.endpoints.at(*endpoint).definition;
    auto const deadline = request.kind.finish_deadline;
    service_call call;
    call.attempt = attempt.attempt;
    call.endpoint = definition.name;
    call.address = definition.address;
    call.method = request.arrival.method;
    call.path = request.arrival.path;
    call.body = request.arrival.body;
    call.idempotency_key = request.arrival.idempotency_key;
    call.timeout = deadline.count() > 0 ? deadline : default_call_timeout;
    w.out.service_calls.push_back(std::move(call));
    return true;
}

bool dispatch(world &w, request_state &request)
{
    if (request.arrival.service.empty())
    {
        return send_to_engine(w, request);
    }
    if (!request.arrival.idempotent && !holds_claim(w, request))
    {
        if (configuration_stale(w))
        {
            refuse_request(w, request.arrival.request,
                           result_code::configuration_stale,
                           "the revision in force is not confirmed");
            return true;
        }
        begin_claim(w, request);
        return true;
    }
    return send_to_endpoint(w, request);
}

bool deadline_passed(world const &w, request_state const &request)
{
    auto const deadline = request.kind.finish_deadline;
    return deadline.count() > 0 && !request.kind.may_wait &&
           w.now - request.arrived_at > deadline;
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
        refuse_request(w, number,
                       request->attempts == 0 ? result_code::no_endpoint
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
