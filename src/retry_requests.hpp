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

/// Ends a lost attempt and queues its request for the next one: first the
/// stream is attached to again, then the answer is continued on another engine
/// from the delivered tokens.
void lose_attempt(world &w, request_state &request, attempt_number attempt,
                  attempt_loss loss);

/// Plans the first look at the progress of an attempt on an engine.
void plan_progress_check(world &w, attempt_number attempt);

/// @return true when the next attempt of the request may start now; one that
///         repeats work is paid for out of the retry budget
bool may_start_attempt(world &w, request_state &request);

/// Treats attempts without progress as lost, and moves what is left on an
/// engine that has been emptying for the drain time-out while another engine
/// can continue it.
void retry_requests(world &w);

} // namespace agateledge

#endif
