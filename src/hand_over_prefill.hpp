#ifndef AGATELEDGE_HAND_OVER_PREFILL_HPP
#define AGATELEDGE_HAND_OVER_PREFILL_HPP

namespace agateledge
{

struct attempt_state;
struct request_state;
struct world;

/// Ends a prefill attempt and queues the request again, to be continued on an
/// engine that imports the KV cache.
void hand_over_prefill(world &w, request_state &request,
                       attempt_state const &attempt);

} // namespace agateledge

#endif
