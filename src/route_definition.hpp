#ifndef AGATELEDGE_ROUTE_DEFINITION_HPP
#define AGATELEDGE_ROUTE_DEFINITION_HPP

#include "time.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// What a route's requests allow.
enum class route_kind
{
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Answered by server-sent events; runs at most once unless resumable.
    streaming,
};

/// Service that takes part of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;

    auto operator<=>(weighted_service const &) const = default;
};

/// Requests of one host and path prefix, and how they are served.
struct route_definition
{
    std::string name;
    /// Host name in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Longest time for which a request may stay unanswered.
    duration timeout = seconds(5);
    /// Time within which an answer, or its first event, is on time.
    duration target_latency = seconds(1);
    /// Longest pause between two events for a stream to be on time; none when
    /// the route does not bound it.
    std::optional<duration> target_pause;
    /// Rank of the route; 0 is the most urgent.
    int priority = 0;
    std::vector<weighted_service> services;
    /// Most instances on which one request may run.
    int max_attempts = 1;
    /// A stream may go on at another instance after its last event.
    bool resumable = false;

    /// @return true when a request may run more than once
    bool repeatable() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }

    /// @return time after which a caller leaves a stream without an event
    duration stream_patience() const;

    auto operator<=>(route_definition const &) const = default;
};

} // namespace agateledge

#endif
