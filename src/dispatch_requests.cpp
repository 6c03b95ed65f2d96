#include "dispatch_requests.hpp"

#include "apply_configuration.hpp"
#include "claim_calls.hpp"
#include "hedge_calls.hpp"
#include "latest_start.hpp"
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

/// Waiting time that offsets one level of priority. A request of priority 2 is
/// served before new arrivals of priority 0 after 30 s.
constexpr duration ageing_per_priority = seconds(15);

/// Requests of a lane that may find no capacity before the rest of the lane is
/// skipped.
constexpr int max_blocked_requests = 4;

/// Time until a lane whose requests found no capacity is tried again.
constexpr duration lane_retry_interval = milliseconds(5);

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
    call.prefill_only = attempt.prefill_only;
    call.import_from = request.kv_address;
    call.import_key = request.kv_key;
    return call;
}

void reply_accepted(world &w, request_state &request,
                    attempt_state const &attempt)
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

/// Sends the request to the engine that runs its stream already.
///
/// @return false when the engine is no longer configured
bool attach_to_engine(world &w, request_state &request)
{
    auto const stream = std::exchange(request.reattach, std::nullopt);
    auto const engine = w.engines.find(stream->engine);
    if (!engine || !w.engines.at(*engine).configured)
    {
        return false;
    }
    auto const &attempt = begin_attached_attempt(w, request, *engine, *stream);
    reply_accepted(w, request, attempt);
    w.out.engine_calls.push_back(make_call(w, request, attempt));
    return true;
}

/// @return true when the engine is to compute the prompt only and export its KV
///         cache: a prefill engine does, unless no engine of the service
///         generates answers or part of the answer has been delivered
bool runs_prefill_only(world const &w, request_state const &request,
                       engine_index engine)
{
    return w.engines.at(engine).role() == engine_role::prefill &&
           request.kv_key.empty() && request.delivered_tokens == 0 &&
           w.candidates.has_generating_engine(request.kind.service);
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
    auto &attempt = begin_engine_attempt(w, request, *engine);
    attempt.prefill_only = runs_prefill_only(w, request, *engine);
    reply_accepted(w, request, attempt);
    w.out.engine_calls.push_back(make_call(w, request, attempt));
    // The exporting engine keeps the KV cache for one import only, so a retry
    // of this attempt has to compute the prompt again.
    request.kv_address.clear();
    request.kv_key.clear();
    return true;
}

bool send_to_endpoint(world &w, request_state &request)
{
    auto const endpoint = select_endpoint(w, request);
    if (!endpoint)
    {
        return false;
    }
    if (!request.arrival.idempotent && configuration_stale(w))
    {
        refuse_request(w, request.arrival.request,
                       result_code::configuration_stale,
                       "the configuration revision in force has not been "
                       "confirmed");
        return true;
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
    if (configuration_pending(w))
    {
        return false;
    }
    if (request.arrival.service.empty())
    {
        return send_to_engine(w, request);
    }
    if (is_outcome_query(request.arrival))
    {
        begin_outcome_query(w, request);
        return true;
    }
    return send_to_endpoint(w, request);
}

/// @return time at which the request is removed from the queue undispatched
instant expiry_of(world const &w, request_state const &request)
{
    auto const &kind = request.kind;
    bool const started =
        request.accepted || request.attempts > 0 || !request.arrival.idempotent;
    if (!started && !w.hooks.fifo_queue)
    {
        return latest_start(w, request);
    }
    bool const bounded =
        kind.finish_deadline.count() > 0 && !kind.may_wait && !request.accepted;
    return bounded ? request.arrived_at + kind.finish_deadline : instant::max();
}

instant rank_of(world const &w, request_state const &request)
{
    auto const level = w.hooks.fifo_queue ? 0 : request.kind.priority;
    return request.arrived_at + ageing_per_priority * level;
}

std::string lane_of(request_state const &request)
{
    auto const *phase = request.kv_key.empty() ? "/prompt" : "/decode";
    return request.kind.service + phase;
}

/// Keeps a request out of its lane until its next attempt may start.
void defer(world &w, request_state const &request)
{
    w.deferred.add(request.not_before, request.arrival.request);
}

void enqueue(world &w, request_number number)
{
    auto const *request = w.requests.find(number);
    if (request == nullptr || request->phase != request_phase::waiting)
    {
        return;
    }
    if (request->not_before > w.now)
    {
        defer(w, *request);
        return;
    }
    w.queue.add(number, lane_of(*request), rank_of(w, *request),
                expiry_of(w, *request));
}

result_code expiry_code(request_state const &request)
{
    // A non-idempotent call that is still queued has not been sent.
    if (request.attempts > 0 && request.arrival.idempotent)
    {
        return result_code::deadline_exceeded;
    }
    return request.arrival.service.empty() ? result_code::deadline_unreachable
                                           : result_code::no_endpoint;
}

void refuse_expired(world &w)
{
    for (auto const number : w.queue.pop_expired(w.now))
    {
        auto const *request = w.requests.find(number);
        if (request == nullptr || request->phase != request_phase::waiting)
        {
            continue;
        }
        refuse_request(w, number, expiry_code(*request),
                       "no engine or endpoint accepted the request in time "
                       "for its deadline");
    }
}

/// @return true when the request leaves the queue
bool try_dispatch(world &w, request_number number)
{
    auto *request = w.requests.find(number);
    if (request == nullptr || request->phase != request_phase::waiting)
    {
        return true;
    }
    if (dispatch(w, *request))
    {
        return true;
    }
    request = w.requests.find(number);
    if (request == nullptr)
    {
        return true;
    }
    if (request->not_before > w.now)
    {
        defer(w, *request);
        return true;
    }
    return false;
}

/// Dispatches requests from the head of a lane until `max_blocked_requests` of
/// them find no capacity.
void dispatch_lane(world &w, dispatch_queue::lane &lane)
{
    int blocked = 0;
    auto next = lane.waiting.begin();
    while (next != lane.waiting.end() && blocked < max_blocked_requests)
    {
        auto const number = (next++)->second;
        if (try_dispatch(w, number))
        {
            w.queue.remove(number);
            continue;
        }
        ++blocked;
    }
    if (blocked > 0)
    {
        lane.blocked_until = w.now + lane_retry_interval;
    }
}

} // namespace

void dispatch_requests(world &w)
{
    std::ranges::for_each(std::exchange(w.waiting, {}),
                          [&w](request_number number) { enqueue(w, number); });
    while (auto const number = w.deferred.pop_due(w.now))
    {
        enqueue(w, *number);
    }
    refuse_expired(w);
    for (auto &[name, lane] : w.queue.lanes())
    {
        if (lane.waiting.empty())
        {
            continue;
        }
        if (lane.blocked_until <= w.now)
        {
            dispatch_lane(w, lane);
        }
        if (!lane.waiting.empty())
        {
            wake_at(w, std::max(lane.blocked_until, w.now + microseconds(1)));
        }
    }
    if (w.queue.next_expiry() != instant::max())
    {
        wake_at(w, w.queue.next_expiry());
    }
    if (auto const next = w.deferred.next())
    {
        wake_at(w, *next);
    }
}

} // namespace agateledge
