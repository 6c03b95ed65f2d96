#ifndef AGATELEDGE_FLEET_INTERVAL_HPP
#define AGATELEDGE_FLEET_INTERVAL_HPP

#include "time.hpp"

#include <algorithm>

namespace agateledge
{

/// Scales the interval of a periodic task of each daemon with the size of the
/// fleet, so that the total rate of all daemons stays the same.
///
/// @param daemons size of the fleet
/// @param daemons_at_min largest fleet for which the interval is `min_interval`
/// @param min_interval lower limit of the interval
/// @param max_interval upper limit of the interval
/// @return the interval for each daemon
inline duration fleet_interval(double daemons, double daemons_at_min,
                               duration min_interval, duration max_interval)
{
    return std::clamp(
        from_seconds(to_seconds(min_interval) * daemons / daemons_at_min),
        min_interval, max_interval);
}

} // namespace agateledge

#endif
