#include "retry_budget.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Most retries that are saved up: the streams of a few lost engines.
constexpr double most_tokens = 200;

/// Retries below which the budget refills with time.
constexpr double floor_tokens = 10;

/// Retries a second that refill the floor.
constexpr double refill_rate = 2;

} // namespace

void retry_budget::earn(double share)
{
    tokens_ = std::min(most_tokens, tokens_ + share);
}

bool retry_budget::spend(instant now)
{
    auto const refill = to_seconds(now - refilled_at_) * refill_rate;
    refilled_at_ = now;
    tokens_ = std::max(tokens_, std::min(floor_tokens, tokens_ + refill));
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace agateledge
