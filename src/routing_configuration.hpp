#ifndef AGATELEDGE_ROUTING_CONFIGURATION_HPP
#define AGATELEDGE_ROUTING_CONFIGURATION_HPP

#include "route_definition.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Group of instances that serve the same requests.
struct service_profile
{
    std::string name;
    /// Tokens that fit into the KV cache of one engine; 0 for a service
    /// without model engines.
    std::int64_t kv_capacity_tokens = 0;
    /// Bytes of KV cache for each token.
    double kv_bytes_per_token = 0;
    /// Bytes of KV cache that an engine sends or receives in a millisecond; 0
    /// when not told.
    double kv_bytes_per_ms = 0;
    /// Output tokens that an engine puts into one event of a stream.
    int tokens_per_event = 1;

    auto operator<=>(service_profile const &) const = default;
};

/// Bounds on what callers may send.
struct request_bounds
{
    std::int64_t max_header_bytes = std::int64_t{16} * 1024;
    std::int64_t max_body_bytes = std::int64_t{4} * 1024 * 1024;
    /// Time for which a kept connection may stay idle.
    duration idle_timeout = seconds(15);

    auto operator<=>(request_bounds const &) const = default;
};

/// Routes and services in force, as one version.
struct routing_configuration
{
    /// 0 before the first one is known.
    std::uint64_t version = 0;
    std::vector<route_definition> routes;
    std::vector<service_profile> services;
    request_bounds bounds;

    auto operator<=>(routing_configuration const &) const = default;
};

/// Selects the route of a request: that of the host with the longest prefix
/// that begins the path.
///
/// @param config routes to choose from
/// @param host host name in lower case, without a port
/// @param path path without the query
/// @return the route, or null when none matches
route_definition const *find_route(routing_configuration const &config,
                                   std::string_view host,
                                   std::string_view path);

/// @return the profile of the service, or null when it is not configured
service_profile const *find_service(routing_configuration const &config,
                                    std::string_view name);

/// @return by service the longest pause between events at which all of its
///         streams are on time; services without such a bound are left out
std::map<std::string, duration>
pause_bounds_of(routing_configuration const &config);

} // namespace agateledge

#endif
