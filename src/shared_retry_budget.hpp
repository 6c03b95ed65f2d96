#ifndef AGATELEDGE_SHARED_RETRY_BUDGET_HPP
#define AGATELEDGE_SHARED_RETRY_BUDGET_HPP

#include "time.hpp"

#include <deque>

namespace agateledge
{

/// Limit on the extra calls, those after the first of each request, that a
/// service gets in a sliding window, summed over all daemons.
struct retry_limits
{
    /// Extra calls allowed per request in the window.
    double share = 0.2;
    /// Extra calls allowed in addition, over all daemons.
    double extra = 50;
    duration window = seconds(10);

    auto operator<=>(retry_limits const &) const = default;
};

/// This daemon's share of the retry budget of one service.
class shared_retry_budget
{
public:
    /// Records a request, which raises the budget.
    void record_request(instant now);

    /// Reserves one extra call. The reservation lasts until `charge` or
    /// `release`.
    ///
    /// @param limits limits over all daemons
    /// @param daemons number of daemons that share the limits; values below 1
    ///        count as 1
    /// @return false when this daemon's share is exhausted
    bool reserve(instant now, retry_limits const &limits, double daemons);

    /// Turns a reservation into an extra call that is sent now.
    void charge(instant now);

    /// Ends the reservation of a call that is not sent.
    void release();

    /// @return number of extra calls that are neither sent nor reserved
    double remaining(instant now, retry_limits const &limits, double daemons);

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
    int reserved_ = 0;
};

} // namespace agateledge

#endif
