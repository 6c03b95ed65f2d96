#include "backoff_delay.hpp"

#include <algorithm>

namespace agateledge
{

duration backoff_delay(random_source &random, int failures, duration base,
                       duration max_delay)
{
    constexpr int max_doublings = 16;
    auto const doublings = std::clamp(failures - 1, 0, max_doublings);
    auto const upper = std::min(base * (1 << doublings), max_delay);
    return from_seconds(to_seconds(upper) * (0.5 + random.uniform() / 2));
}

} // namespace agateledge
