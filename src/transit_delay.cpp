#include "store_view_state.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Time after which the shortest transit is measured anew, so that clocks that
/// run at slightly different speeds do not add up: at most 3 ms in this time at
/// 100 ppm.
constexpr duration period = seconds(30);

} // namespace

std::optional<duration> transit_delay::add(duration sent_at, instant now)
{
    auto const difference = now.time_since_epoch() - sent_at;
    bool const first = !shortest_;
    if (!first && now - period_began_at_ >= period)
    {
        shortest_before_ = std::exchange(shortest_, difference);
        period_began_at_ = now;
    }
    if (first)
    {
        period_began_at_ = now;
    }
    shortest_ = std::min(shortest_.value_or(difference), difference);
    if (first)
    {
        return std::nullopt;
    }
    return difference -
           std::min(*shortest_, shortest_before_.value_or(*shortest_));
}

} // namespace agateledge
