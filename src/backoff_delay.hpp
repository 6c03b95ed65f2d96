#ifndef AGATELEDGE_BACKOFF_DELAY_HPP
#define AGATELEDGE_BACKOFF_DELAY_HPP

#include "random_source.hpp"
#include "time.hpp"

namespace agateledge
{

/// Computes the wait before the next try. It doubles with each failure up to
/// `most`, and a random half of it is taken off, so that daemons that failed
/// together do not retry together.
///
/// @param random random source of the daemon
/// @param failures failures in a row, 1 after the first one
/// @param base wait after the first failure, before the random part
/// @param most longest wait
duration backoff_delay(random_source &random, int failures, duration base,
                       duration most);

} // namespace agateledge

#endif
