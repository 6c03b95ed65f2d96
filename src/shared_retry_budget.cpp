#include "shared_retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace agateledge
{

namespace
{

/// Resolution of the sliding window.
constexpr duration slot_length = milliseconds(500);

/// Fraction of the limit that is used. The windows of the daemons and of the
/// platform do not start at the same time, so that requests near an edge count
/// in only one of them.
constexpr double budget_safety_factor = 0.7;

} // namespace

shared_retry_budget::slot &shared_retry_budget::current(instant now)
{
    if (slots_.empty() || now - slots_.back().begin >= slot_length)
    {
        slots_.push_back({now, 0, 0});
    }
    return slots_.back();
}

void shared_retry_budget::expire(instant now, duration window)
{
    while (!slots_.empty() && now - slots_.front().begin > window + slot_length)
    {
        slots_.pop_front();
    }
}

void shared_retry_budget::record_request(instant now)
{
    ++current(now).requests;
}

double shared_retry_budget::remaining(instant now, retry_limits const &limits,
                                      double daemons)
{
    expire(now, limits.window);
    auto const requests = std::accumulate(slots_.begin(), slots_.end(), 0,
                                          [](int sum, slot const &item)
                                          { return sum + item.requests; });
    auto const extra = std::accumulate(slots_.begin(), slots_.end(), 0,
                                       [](int sum, slot const &item)
                                       { return sum + item.extra; });
    auto const allowed =
        budget_safety_factor *
        (limits.share * requests + limits.extra / std::max(1.0, daemons));
    return allowed - extra - reserved_;
}

bool shared_retry_budget::reserve(instant now, retry_limits const &limits,
                                  double daemons)
{
    if (remaining(now, limits, daemons) < 1)
    {
        return false;
    }
    ++reserved_;
    return true;
}

void shared_retry_budget::charge(instant now)
{
    --reserved_;
    ++current(now).extra;
}

void shared_retry_budget::release()
{
    --reserved_;
}

} // namespace agateledge
