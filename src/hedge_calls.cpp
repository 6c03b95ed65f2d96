#include "hedge_calls.hpp"

#include "claim_calls.hpp"
#include "request_lifecycle.hpp"
#include "select_endpoint.hpp"
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

/// Shortest time-out of a call whose deadline is near: waiting for the answer
/// to a booking that was sent is better than leaving its outcome unknown.
constexpr duration min_call_timeout = seconds(1);

/// Shortest time before a call is hedged.
constexpr duration min_hedge_delay = milliseconds(20);

constexpr double hedge_delay_quantile = 0.95;

duration timeout_of(world const &w, request_state const &request)
{
    auto const deadline = request.kind.finish_deadline;
    if (deadline.count() == 0)
    {
        return default_call_timeout;
    }
    return std::max(min_call_timeout, request.arrived_at + deadline - w.now);
}

void schedule_hedge(world &w, request_state const &request)
{
    auto const &latencies = w.call_latencies[request.kind.service];
    auto const delay =
        std::max(min_hedge_delay, latencies.quantile(hedge_delay_quantile));
    w.hedges.add(w.now + delay, request.arrival.request);
}

void hedge(world &w, request_number number)
{
    auto *request = w.requests.find(number);
    if (request == nullptr || !request->attempt || request->hedge)
    {
        return;
    }
    auto const first = w.attempts.find(*request->attempt)->endpoint;
    request->avoid_endpoint = first;
    auto const second = select_endpoint(w, *request);
    if (!second || second == first || !w.retries.spend(w.now))
    {
        return;
    }
    call_endpoint(w, *request, *second);
}

} // namespace

void call_endpoint(world &w, request_state &request, endpoint_index endpoint)
{
    auto const &attempt = begin_service_attempt(w, request, endpoint);
    auto const &definition = w.endpoints.at(endpoint).definition;
    service_call call;
    call.attempt = attempt.attempt;
    call.endpoint = definition.name;
    call.address = definition.address;
    call.method = request.arrival.method;
    call.path = request.arrival.path;
    call.body = request.arrival.body;
    call.idempotency_key = request.arrival.idempotency_key;
    call.timeout = timeout_of(w, request);
    w.out.service_calls.push_back(std::move(call));
    mark_sent(w, request.arrival.request, true);
    if (request.arrival.idempotent && !request.hedge)
    {
        schedule_hedge(w, request);
    }
}

void record_call_latency(world &w, request_state const &request,
                         attempt_state const &attempt)
{
    w.call_latencies[request.kind.service].add(w.now - attempt.started_at);
}

void hedge_calls(world &w)
{
    while (auto const number = w.hedges.pop_due(w.now))
    {
        hedge(w, *number);
    }
    if (auto const next = w.hedges.next())
    {
        wake_at(w, *next);
    }
}

} // namespace agateledge
