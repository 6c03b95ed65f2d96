#ifndef AGATELEDGE_TIME_HPP
#define AGATELEDGE_TIME_HPP

#include <chrono>

namespace agateledge
{

/// Duration in microseconds.
using duration = std::chrono::microseconds;

/// Clock that the caller of `tick` reads: CLOCK_BOOTTIME in a daemon, which
/// also advances while the machine or the process is suspended, and virtual
/// time in tests.
struct daemon_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<daemon_clock>;
    static constexpr bool is_steady = true;
};

/// Point in time on the clock of this daemon; not comparable between daemons.
using instant = daemon_clock::time_point;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// @return `value` in seconds
constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// @return `value` seconds, rounded towards zero to a microsecond
constexpr duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace agateledge

#endif
