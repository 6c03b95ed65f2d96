#include "overload_gate.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Time over which iterations are averaged before the share is adjusted.
constexpr duration period = milliseconds(100);

/// Mean iteration above which requests wait too long in the daemon; a request
/// needs about seven iterations.
constexpr duration max_mean_iteration = milliseconds(15);

/// Share of a period spent in handlers above which the processor is saturated.
constexpr double saturated_busy_share = 0.9;

/// Saturated periods in a row before the share falls, so that a single long
/// task does not count as overload.
constexpr int min_saturated_periods = 2;

/// Limits of the factor by which the share falls in a period, and the step by
/// which it rises.
constexpr double min_decrease = 0.6;
constexpr double max_decrease = 0.95;
constexpr double increase = 0.04;

/// Share that is always admitted, so that the daemon notices the end of the
/// overload.
constexpr double min_admitted_share = 0.03;

} // namespace

void overload_gate::record_iteration(duration busy, instant now)
{
    if (period_began_ == instant{})
    {
        period_began_ = now;
        return;
    }
    busy_ += busy;
    ++iterations_;
    if (now - period_began_ >= period)
    {
        end_period(now);
    }
}

void overload_gate::end_period(instant now)
{
    auto const elapsed = now - std::exchange(period_began_, now);
    auto const busy = std::exchange(busy_, duration(0));
    auto const mean = busy / std::exchange(iterations_, 0);
    bool const saturated =
        mean > max_mean_iteration &&
        to_seconds(busy) >= saturated_busy_share * to_seconds(elapsed);
    saturated_periods_ = saturated ? saturated_periods_ + 1 : 0;
    if (!saturated)
    {
        set_share(std::min(admitted_share_ + increase, 1.0));
    }
    else if (saturated_periods_ >= min_saturated_periods)
    {
        auto const factor =
            std::clamp(to_seconds(max_mean_iteration) / to_seconds(mean),
                       min_decrease, max_decrease);
        set_share(std::max(admitted_share_ * factor, min_admitted_share));
    }
}

void overload_gate::set_share(double share)
{
    bool const was_overloaded = admitted_share_ < 1;
    admitted_share_ = share;
    bool const overloaded = share < 1;
    if (overloaded != was_overloaded && on_change)
    {
        on_change(overloaded);
    }
}

} // namespace agateledge
