#include "backoff_delay.hpp"

#include <algorithm>

namespace agateledge
{

duration backoff_delay(random_source &random, int failures, duration base,
                       duration most)
{
    constexpr int max_doublings = 16;
    auto const doublings = std::clamp(failures - 1, 0, max_doublings);
    auto const longest = std::min(base * (1 << doublings), most);
    return from_seconds(to_seconds(longest) * (0.5 + random.uniform() / 2));
}

} // namespace agateledge
