#ifndef AGATELEDGE_SHARED_RETRY_BUDGET_HPP
#define AGATELEDGE_SHARED_RETRY_BUDGET_HPP

#include "time.hpp"

#include <deque>

namespace agateledge
{

/// Bound on the calls beyond the first of each request that a service gets in
/// a sliding window, summed over all daemons.
struct retry_limits
{
    /// Extra calls that each request allows.
    double share = 0.2;
    /// Extra calls that are allowed besides, over all daemons.
    double extra = 50;
    duration window = seconds(10);

    auto operator<=>(retry_limits const &) const = default;
};

/// This daemon's part of the extra calls to one service.
class shared_retry_budget
{
public:
    /// Counts a request of a caller.
    void count_request(instant now);

    /// Takes one extra call.
    ///
    /// @param limits bound over all daemons
    /// @param daemons daemons that share the bound; at least 1
    /// @return false when this daemon's part is used up
    bool spend(instant now, retry_limits const &limits, double daemons);

    /// @return extra calls that are left
    double left(instant now, retry_limits const &limits, double daemons);

private:
    struct slot
    {
        instant begin{};
        int requests = 0;
        int extra = 0;
    };

    slot &current(instant now);
    void expire(instant now, duration window);

    std::deque<slot> slots_;
};

} // namespace agateledge

#endif
