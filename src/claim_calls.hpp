#ifndef AGATELEDGE_CLAIM_CALLS_HPP
#define AGATELEDGE_CLAIM_CALLS_HPP

#include <string>

namespace agateledge
{

struct request_state;
struct world;

/// Begins the claim of a non-idempotent call: inserts its row if it is absent.
void begin_claim(world &w, request_state &request);

/// @return true when the claim of the call is known to be this request's
bool holds_claim(world const &w, request_state const &request);

/// Advances claims by this tick's replies of the table service. A call is sent
/// only after its claim row is known to be this request's. Another holder's
/// row answers with its stored outcome. While the table service does not
/// answer, calls are refused as not run.
void claim_calls(world &w);

/// Records the outcome of a non-idempotent call that was answered and then
/// answers the caller.
///
/// @param http_status status of the endpoint's answer
/// @param body the endpoint's answer
void record_outcome(world &w, request_state &request, int http_status,
                    std::string const &body);

/// Ends a non-idempotent call whose effect is not known.
void record_unknown(world &w, request_state &request);

} // namespace agateledge

#endif
