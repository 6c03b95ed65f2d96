#ifndef AGATELEDGE_PROXY_LIMITS_HPP
#define AGATELEDGE_PROXY_LIMITS_HPP

#include "memory_limits.hpp"
#include "shared_retry_budget.hpp"
#include "time.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Duties that one daemon at a time performs for the deployment, from the
/// settings file. The defaults are none.
struct duty_settings
{
    /// IP address and port of the platform's service interface; empty for none.
    std::string platform_address;
    /// Usage of the client accounts is reported.
    bool reports_usage = false;
    /// Instances are ordered as the load requires.
    bool orders_capacity = false;
    /// Roles of model engines are changed as the load requires.
    bool assigns_roles = false;
    /// Calls a second that the platform takes from all daemons together.
    double calls_per_second = 50;
    /// Time in which the platform must not see holders alternate.
    duration lease_time = seconds(3);
    /// Calls that arrive this long after their sender was suspended are not
    /// held against the holder.
    duration thaw_slack = milliseconds(300);
    /// Length of a reported window of wall-clock time; windows begin at the
    /// Unix epoch.
    duration usage_window = seconds(5);
    /// Time after the end of a window by which its report is due.
    duration usage_due = seconds(10);

    auto operator<=>(duty_settings const &) const = default;
};

/// Limits that the deployment sets for a daemon behind the platform; all come
/// from the settings file.
struct proxy_limits
{
    retry_limits retries;
    /// Time from the shutdown signal until the process is killed.
    duration shutdown_grace = seconds(8);
    /// Maximum time from an instance's announcement that it drains until it
    /// gets no new work.
    duration drain_bound = seconds(2);
    /// Maximum time in which a daemon whose connections stopped responding must
    /// know the state of the store again.
    duration reconnect_bound = seconds(3);
    /// Maximum time from the acknowledgement of a configuration until it is in
    /// force.
    duration configuration_bound = seconds(2);
    duty_settings duties;
    memory_limits memory;

    auto operator<=>(proxy_limits const &) const = default;
};

} // namespace agateledge

#endif
