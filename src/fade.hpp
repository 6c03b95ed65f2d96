#ifndef AGATELEDGE_FADE_HPP
#define AGATELEDGE_FADE_HPP

#include "time.hpp"

#include <cmath>

namespace agateledge
{

/// @param value value when it was observed
/// @param age time since then
/// @param half_life_s time in which it halves, in seconds
/// @return what is left of a smoothed value that was not observed again
inline duration fade(duration value, duration age, double half_life_s)
{
    return from_seconds(to_seconds(value) *
                        std::exp2(-to_seconds(age) / half_life_s));
}

} // namespace agateledge

#endif
