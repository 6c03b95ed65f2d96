#ifndef AGATELEDGE_RETRY_BUDGET_HPP
#define AGATELEDGE_RETRY_BUDGET_HPP

#include "time.hpp"

namespace agateledge
{

/// Limits retries and hedges to a share of first attempts, so that they cannot
/// amplify an outage. A small budget also refills with time, so that a daemon
/// with little traffic can retry.
class retry_budget
{
public:
    /// Counts a first attempt.
    ///
    /// @param share retries that one first attempt adds to the budget
    void earn(double share);

    /// Takes one retry from the budget.
    ///
    /// @return false when the budget is exhausted
    bool spend(instant now);

private:
    double tokens_ = 10;
    instant refilled_at_{};
};

} // namespace agateledge

#endif
