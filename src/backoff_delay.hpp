#ifndef AGATELEDGE_BACKOFF_DELAY_HPP
#define AGATELEDGE_BACKOFF_DELAY_HPP

#include "random_source.hpp"
#include "time.hpp"

namespace agateledge
{

/// Computes the delay before the next attempt. It doubles with each failure up
/// to `max_delay`, and is reduced by a random part of at most half of it, so
/// that daemons that failed together do not retry together.
///
/// @param random random number generator of the daemon
/// @param failures consecutive failures, 1 after the first one
/// @param base delay after the first failure, before the reduction
/// @param max_delay upper bound of the delay
duration backoff_delay(random_source &random, int failures, duration base,
                       duration max_delay);

} // namespace agateledge

#endif
