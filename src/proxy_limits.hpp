#ifndef AGATELEDGE_PROXY_LIMITS_HPP
#define AGATELEDGE_PROXY_LIMITS_HPP

#include "memory_limits.hpp"
#include "shared_retry_budget.hpp"
#include "time.hpp"

#include <compare>

namespace agateledge
{

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
    memory_limits memory;

    auto operator<=>(proxy_limits const &) const = default;
};

} // namespace agateledge

#endif
