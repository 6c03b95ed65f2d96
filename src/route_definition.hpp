#ifndef AGATELEDGE_ROUTE_DEFINITION_HPP
#define AGATELEDGE_ROUTE_DEFINITION_HPP

#include "time.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// How the requests of a route may be executed and are answered.
enum class route_kind
{
    /// May be executed more than once.
    idempotent,
    /// Executed at most once.
    non_idempotent,
    /// Answered by server-sent events; executed at most once unless resumable.
    streaming,
};

/// Service that handles a share of a route's requests.
struct weighted_service
{
    std::string service;
    /// Share, relative to the other services of the route.
    double weight = 1;

    auto operator<=>(weighted_service const &) const = default;
};

/// How the requests for one host and path prefix are handled.
struct route_definition
{
    std::string name;
    /// Host name in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Time after which an unanswered request fails.
    duration timeout = seconds(5);
    /// Latency objective: an answer, or the first event of a stream, is on time
    /// within this time.
    duration target_latency = seconds(1);
    /// A stream is on time while the gap between two events does not exceed
    /// this; none when the route sets no limit.
    std::optional<duration> max_event_gap;
    /// Priority class; 0 is the highest priority.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Maximum number of instances on which one request may be executed.
    int max_attempts = 1;
    /// An interrupted stream may be resumed at another instance after its last
    /// event.
    bool resumable = false;
    /// Requests need no key of a client account.
    bool is_public = false;

    /// @return true when a request may be executed more than once
    bool can_retry() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }

    /// @return time without an event after which a caller abandons a stream
    duration stream_idle_timeout() const;

    auto operator<=>(route_definition const &) const = default;
};

} // namespace agateledge

#endif
