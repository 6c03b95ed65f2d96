#ifndef AGATELEDGE_CLAIM_CALLS_HPP
#define AGATELEDGE_CLAIM_CALLS_HPP

#include "ids.hpp"

#include <string>

namespace agateledge
{

struct request_arrival;
struct request_state;
struct world;

/// @return true when the arrival asks for the outcome of a non-idempotent call
bool asks_for_outcome(request_arrival const &arrival);

/// Begins the claim of a non-idempotent call: inserts its row if it is absent.
void begin_claim(world &w, request_state &request);

/// Begins to read the outcome of a non-idempotent call for a caller. The answer
/// is a JSON document with `outcome`: "done", "not_run", "in_progress" or
/// "unknown"; a key without a row is refused as an unknown request, since its
/// call may still be under way.
void begin_outcome_query(world &w, request_state &request);

/// @return true when the call may be sent: its claim is known to be ours
bool holds_claim(world const &w, request_state const &request);

/// Notes that bytes of the call may have been sent, or that none were.
void mark_sent(world &w, request_number request, bool sent);

/// @return true when bytes of the call of `request` may have been sent
bool may_have_run(world const &w, request_number request);

/// Stores the answer of the endpoint as the outcome of a call. The caller is
/// answered without waiting for it.
void settle_done(world &w, request_number request, int http_status,
                 std::string const &body);

/// Stores the outcome of a call that ends without an answer: unknown when
/// bytes may have been sent, and not run otherwise. Without a claim it does
/// nothing.
void settle_unanswered(world &w, request_number request);

/// Advances claims by this tick's replies of the table service and by time. A
/// call is sent only after its claim row is known to be this request's. Another
/// holder's row answers with its stored outcome. While the table service does
/// not answer, calls are refused as not run. Outcomes are written until they
/// are known to be stored.
void claim_calls(world &w);

} // namespace agateledge

#endif
