#include "hand_over_prefill.hpp"

#include "request_lifecycle.hpp"
#include "world.hpp"

namespace agateledge
{

void hand_over_prefill(world &w, request_state &request,
                       attempt_state const &attempt)
{
    auto const &engine = w.engines.at(*attempt.engine).definition;
    request.kv_address = engine.address.empty() ? engine.name : engine.address;
    request.kv_key = attempt.stream_key;
    end_attempt(w, attempt.attempt);
    requeue_request(w, request);
}

} // namespace agateledge
