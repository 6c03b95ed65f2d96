#ifndef AGATELEDGE_RETRY_BUDGET_HPP
#define AGATELEDGE_RETRY_BUDGET_HPP

#include "time.hpp"

namespace agateledge
{

/// Limits retries and hedges to a share of first attempts, so that they cannot
/// amplify an outage. A floor that refills with time lets a daemon without much
/// traffic retry as well.
class retry_budget
{
public:
    /// Counts a first attempt.
    ///
    /// @param share retries that one first attempt allows
    void earn(double share);

    /// @return true when a retry may start now; it is then paid for
    bool spend(instant now);

private:
    double tokens_ = 10;
    instant refilled_at_{};
};

} // namespace agateledge

#endif
