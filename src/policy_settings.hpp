#ifndef AGATELEDGE_POLICY_SETTINGS_HPP
#define AGATELEDGE_POLICY_SETTINGS_HPP

#include "time.hpp"

#include <compare>

namespace agateledge
{

/// Weights and bounds of the routing and role decisions.
struct policy_settings
{
    /// Goodput (weighted requests) that a role change must gain beyond the cost
    /// of the seconds away.
    double role_change_weight = 1.0;
    /// Most role changes an hour in one data centre; 0 turns them off.
    int role_changes_per_hour = 12;
    /// Seconds over which the gain of a role change is counted.
    duration role_horizon = seconds(120);
    /// Retries allowed for each first attempt, as a share.
    double retry_share = 0.1;
    /// Longest time a drain waits before it moves what is left.
    duration drain_timeout = seconds(30);

    auto operator<=>(policy_settings const &) const = default;
};

} // namespace agateledge

#endif
