#ifndef AGATELEDGE_DUTY_AUTHORITY_HPP
#define AGATELEDGE_DUTY_AUTHORITY_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace agateledge
{

struct world;

/// Work that one daemon at a time does for the whole deployment.
enum class duty
{
    report_usage,
    order_capacity,
    assign_roles,
};

/// Right of this daemon to act for a duty.
struct duty_authority
{
    /// Rises with each change of the holder, also when the store returns from
    /// an older copy.
    std::uint64_t fencing = 0;
    /// No call may be sent at or after this time on the daemon's clock.
    instant valid_until{};

    auto operator<=>(duty_authority const &) const = default;
};

/// @return the authority of this daemon over the duty; none when another daemon
///         holds it, or when a call that is sent now could arrive too late
std::optional<duty_authority> authority_over(world const &w, duty item);

} // namespace agateledge

#endif
