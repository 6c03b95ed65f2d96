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

    auto operator<=>(relay_limits const &) const = default;
};

} // namespace agateledge

#endif
