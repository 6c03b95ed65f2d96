#ifndef AGATELEDGE_HEDGE_CALLS_HPP
#define AGATELEDGE_HEDGE_CALLS_HPP

#include "ids.hpp"

namespace agateledge
{

struct attempt_state;
struct request_state;
struct world;

/// Sends a call of a plain service to an endpoint.
void call_endpoint(world &w, request_state &request, endpoint_index endpoint);

/// Records the latency of an answered call, from which the delay of later
/// hedges is computed.
void record_call_latency(world &w, request_state const &request,
                         attempt_state const &attempt);

/// Sends idempotent calls of plain services that exceed the 95th percentile of
/// the service's recent latencies to a second endpoint as well, within the
/// retry budget. The first answer is forwarded.
void hedge_calls(world &w);

} // namespace agateledge

#endif
