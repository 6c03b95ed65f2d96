#ifndef AGATELEDGE_POLICY_SETTINGS_HPP
#define AGATELEDGE_POLICY_SETTINGS_HPP

#include "time.hpp"

#include <compare>

namespace agateledge
{

/// Weights and limits of the routing and role decisions.
struct policy_settings
{
    /// Weighted requests of goodput that a role change must gain within
    /// `role_horizon`, net of what is lost while the engine changes its role.
    double role_change_weight = 1.0;
    /// Maximum role changes an hour in one data centre; 0 disables them.
    int role_changes_per_hour = 12;
    /// Time over which the gain of a role change is predicted.
    duration role_horizon = seconds(120);
    /// Retries allowed per first attempt; 0.1 allows one for ten.
    double retry_share = 0.1;
    /// Maximum time a drain waits before the remaining work is moved.
    duration drain_timeout = seconds(30);

    auto operator<=>(policy_settings const &) const = default;
};

} // namespace agateledge

#endif
