#ifndef AGATELEDGE_PLATFORM_CALL_HPP
#define AGATELEDGE_PLATFORM_CALL_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace agateledge
{

/// Requests of each client account that began to run in one window.
struct usage_report
{
    /// Number of the window: wall-clock time since the Unix epoch divided by
    /// the length of a window.
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> requests;

    auto operator<=>(usage_report const &) const = default;
};

/// Number of instances of a service that a data centre is to have.
struct capacity_order
{
    std::string service;
    std::string data_centre;
    int instances = 0;
    /// The number is that of reclaimable instances; ordinary ones are counted
    /// separately.
    bool reclaimable = false;

    auto operator<=>(capacity_order const &) const = default;
};

/// Call to the platform's service interface, which only the holder of a duty
/// makes.
struct platform_call
{
    std::uint64_t operation = 0;
    /// Daemon that holds the duty.
    std::string holder;
    std::uint64_t fencing = 0;
    std::variant<usage_report, capacity_order> body;
    duration timeout{};
    /// End of the holder's authority. Immediately before the send, the adapter
    /// reads the clock and drops the call if this time has been reached.
    instant not_after = instant::max();
};

enum class platform_outcome
{
    accepted,
    /// No instances are available at the moment.
    unavailable,
    /// More calls than the platform takes; nothing was done.
    throttled,
    /// The call was not sent, because the authority had ended or no connection
    /// was established.
    not_sent,
    /// Any other status.
    rejected,
    /// No usable reply: the call may have taken effect.
    unknown,
};

/// Reply to a `platform_call`.
struct platform_reply
{
    std::uint64_t operation = 0;
    platform_outcome outcome = platform_outcome::unknown;
    /// HTTP status, or 0 without a reply.
    int status = 0;
};

} // namespace agateledge

#endif
