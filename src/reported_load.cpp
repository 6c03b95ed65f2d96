#include "reported_load.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace agateledge
{

double remaining_tokens(double tokens, duration age, double tokens_per_ms)
{
    constexpr double ms_per_s = 1e3;
    auto const done = to_seconds(age) * ms_per_s * tokens_per_ms;
    return std::max(tokens - done, 0.0);
}

double prompt_rank_score(std::uint64_t part, std::string_view engine,
                         double weight)
{
    auto const bits = XXH3_64bits_withSeed(engine.data(), engine.size(), part);
    auto const uniform = (static_cast<double>(bits >> 11) + 0.5) * 0x1p-53;
    return -std::log(uniform) / weight;
}

} // namespace agateledge
