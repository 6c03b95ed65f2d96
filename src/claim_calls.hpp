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
bool is_outcome_query(request_arrival const &arrival);

/// Starts to claim a non-idempotent call by inserting its row if it is absent.
void begin_claim(world &w, request_state &request);

/// Starts to read the outcome of a non-idempotent call for a caller. The answer
/// is a JSON document with `outcome`: "done", "not_run", "in_progress" or
/// "unknown". A key without a row is refused as an unknown request instead of
/// being reported as not run, since its call may still be in progress.
void begin_outcome_query(world &w, request_state &request);

/// @return true when the call may be sent: its claim row is known to be
///         held by this request
bool holds_claim(world const &w, request_state const &request);

/// Records whether bytes of the call may have been sent.
void mark_sent(world &w, request_number request, bool sent);

/// @return true when bytes of the call of `request` may have been sent
bool may_have_run(world const &w, request_number request);

/// Stores the answer of the endpoint as the outcome of a call. The reply to the
/// caller does not wait for the write.
void settle_done(world &w, request_number request, int http_status,
                 std::string const &body);

/// Stores the outcome of a call that ends without an answer: unknown when
/// bytes may have been sent, and not run otherwise. Does nothing when the
/// request has no claim.
void settle_unanswered(world &w, request_number request);

/// Advances claims with this tick's replies of the table service and with
/// elapsed time. A call is sent only after its claim row is known to be held by
/// this request. If another request holds the row, its stored outcome is the
/// answer. While the table service does not answer, calls are refused as not
/// run. The write of an outcome is retried until it is known to be stored.
void claim_calls(world &w);

} // namespace agateledge

#endif
