#ifndef AGATELEDGE_ADMIT_REQUESTS_HPP
#define AGATELEDGE_ADMIT_REQUESTS_HPP

#include "time.hpp"

namespace agateledge
{

struct request_state;
struct world;

/// @return the time after which a request that has not begun cannot meet its
///         deadlines any more; the maximum for a class that may wait
instant latest_start(world const &w, request_state const &request);

} // namespace agateledge

#endif
