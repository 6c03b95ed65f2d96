#ifndef AGATELEDGE_RELAY_LIMITS_HPP
#define AGATELEDGE_RELAY_LIMITS_HPP

#include "shared_retry_budget.hpp"
#include "time.hpp"

#include <compare>

namespace agateledge
{

/// Bounds of the deployment that a daemon behind the platform keeps; all come
/// from its settings file.
struct relay_limits
{
    retry_limits retries;
    /// Time from the shutdown signal to the forced end of the process.
    duration shutdown_grace = seconds(8);
    /// Time from an instance's announcement that it leaves until it must get no
    /// new work.
    duration drain_bound = seconds(2);
    /// Time in which a daemon whose connections have fallen silent must know
    /// the state of the store again.
    duration reconnect_bound = seconds(3);

    auto operator<=>(relay_limits const &) const = default;
};

} // namespace agateledge

#endif
