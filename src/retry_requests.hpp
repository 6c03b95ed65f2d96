#ifndef AGATELEDGE_RETRY_REQUESTS_HPP
#define AGATELEDGE_RETRY_REQUESTS_HPP

#include "ids.hpp"

namespace agateledge
{

struct attempt_state;
struct request_state;
struct world;

/// How an attempt was lost.
enum class attempt_loss
{
    /// The target did no work: it refused, or no byte was sent.
    not_started,
    /// The connection broke, an event is missing or progress stopped; the
    /// stream may still run at its engine.
    interrupted,
};

/// Ends a lost attempt and queues its request for the next one. An interrupted
/// stream is attached to again first; if that fails, another engine continues
/// the answer after the delivered tokens.
void lose_attempt(world &w, request_state &request, attempt_number attempt,
                  attempt_loss loss);

/// Schedules the first progress check of an attempt on an engine.
void plan_progress_check(world &w, attempt_number attempt);

/// Reserves the next attempt of a request. One that repeats work is deducted
/// from the retry budget; when the budget stays empty for too long, the request
/// is refused.
///
/// @return true when the attempt may start now
bool may_start_attempt(world &w, request_state &request);

/// Treats attempts without progress as lost. Moves the attempts that are still
/// open on an engine after the drain time-out, if another engine can continue
/// them.
void retry_requests(world &w);

} // namespace agateledge

#endif
