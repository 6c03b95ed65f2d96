#ifndef AGATELEDGE_EXPONENTIAL_DECAY_HPP
#define AGATELEDGE_EXPONENTIAL_DECAY_HPP

#include "time.hpp"

#include <cmath>

namespace agateledge
{

/// Decays a smoothed value that has not been measured again.
///
/// @param value value at the last measurement
/// @param age time since the last measurement
/// @param half_life_s half-life in seconds
/// @return the decayed value
inline duration exponential_decay(duration value, duration age,
                                  double half_life_s)
{
    return from_seconds(to_seconds(value) *
                        std::exp2(-to_seconds(age) / half_life_s));
}

} // namespace agateledge

#endif
