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

/// Notes how long an endpoint took to answer.
void note_call_latency(world &w, request_state const &request,
                       attempt_state const &attempt);

/// Sends idempotent calls of plain services that take longer than 95 in 100 to
/// a second endpoint, within the retry budget. The first answer is forwarded.
void hedge_calls(world &w);

} // namespace agateledge

#endif
