#ifndef AGATELEDGE_WALL_CLOCK_HPP
#define AGATELEDGE_WALL_CLOCK_HPP

#include "time.hpp"

#include <optional>

namespace agateledge
{

/// Time since the Unix epoch, derived from the daemon's clock, which does not
/// jump. A deviation of the time of day is followed when it is small or lasts.
class wall_clock
{
public:
    /// Compares the estimate with the time of day.
    ///
    /// @return true when the estimate has followed a large deviation
    bool observe(instant now, duration time_of_day);

    /// @return difference between the estimate and the daemon's clock; nothing
    ///         before the first comparison
    std::optional<duration> offset() const { return offset_; }

private:
    std::optional<duration> offset_;
    /// Large deviation that is observed at present, and its begin.
    std::optional<duration> deviating_offset_;
    instant deviates_since_{};
};

} // namespace agateledge

#endif
