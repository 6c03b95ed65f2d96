#include "retry_budget.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Upper bound of the budget; covers the open streams of a few lost engines.
constexpr double max_budget = 200;

/// Budget up to which retries are added with time.
constexpr double timed_refill_limit = 10;

/// Retries that are added per second below that limit.
constexpr double refill_rate = 2;

} // namespace

void retry_budget::earn(double share)
{
    tokens_ = std::min(max_budget, tokens_ + share);
}

bool retry_budget::spend(instant now)
{
    auto const refill = to_seconds(now - refilled_at_) * refill_rate;
    refilled_at_ = now;
    tokens_ = std::max(tokens_, std::min(timed_refill_limit, tokens_ + refill));
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace agateledge
