#ifndef AGATELEDGE_FLEET_INTERVAL_HPP
#define AGATELEDGE_FLEET_INTERVAL_HPP

#include "time.hpp"

#include <algorithm>

namespace agateledge
{

/// Interval of something that each daemon does, which grows with the fleet so
/// that all daemons together do it equally often.
///
/// @param daemons size of the fleet
/// @param shortest interval up to a fleet of `daemons_at_shortest`
/// @param longest bound of the interval
inline duration fleet_interval(double daemons, double daemons_at_shortest,
                               duration shortest, duration longest)
{
    return std::clamp(
        from_seconds(to_seconds(shortest) * daemons / daemons_at_shortest),
        shortest, longest);
}

} // namespace agateledge

#endif
