#ifndef AGATELEDGE_LATEST_START_HPP
#define AGATELEDGE_LATEST_START_HPP

#include "time.hpp"

namespace agateledge
{

struct request_state;
struct world;

/// Computes how long a request may stay in the queue before its first attempt.
///
/// @return the latest time at which the request can be dispatched and still
///         meet its deadlines; `instant::max()` when its class may wait
instant latest_start(world const &w, request_state const &request);

} // namespace agateledge

#endif
