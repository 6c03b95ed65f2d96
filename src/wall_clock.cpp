#include "wall_clock.hpp"

#include <chrono>

namespace agateledge
{

namespace
{

/// Deviations up to this one are corrections by time synchronisation.
constexpr duration small_deviation = milliseconds(100);

/// Time for which a larger deviation must last; jumps of the time of day are
/// undone sooner.
constexpr duration lasting_time = seconds(60);

} // namespace

bool wall_clock::observe(instant now, duration time_of_day)
{
    auto const measured = time_of_day - now.time_since_epoch();
    if (!offset_ || std::chrono::abs(measured - *offset_) <= small_deviation)
    {
        offset_ = measured;
        deviating_offset_.reset();
        return false;
    }
    bool const same_deviation =
        deviating_offset_ &&
        std::chrono::abs(measured - *deviating_offset_) <= small_deviation;
    deviating_offset_ = measured;
    if (!same_deviation)
    {
        deviates_since_ = now;
        return false;
    }
    if (now - deviates_since_ < lasting_time)
    {
        return false;
    }
    offset_ = measured;
    deviating_offset_.reset();
    return true;
}

} // namespace agateledge
