#ifndef AGATELEDGE_ROUTING_CONFIGURATION_HPP
#define AGATELEDGE_ROUTING_CONFIGURATION_HPP

#include "route_definition.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

class account_directory;

/// Numbers of instances of a service that may be ordered from the platform.
/// They apply to each data centre, to ordinary and reclaimable instances
/// together.
struct capacity_limits
{
    int min_instances = 0;
    int max_instances = 0;
    /// Time from an order until a new instance serves.
    duration boot_time{};
    /// Price of a reclaimable instance relative to an ordinary one.
    double reclaimable_price = 1;
    /// Price of an instance second, by data centre.
    std::map<std::string, double> prices;

    auto operator<=>(capacity_limits const &) const = default;
};

/// Group of instances that serve the same requests.
struct service_profile
{
    std::string name;
    /// Tokens that fit into the KV cache of one engine; 0 for a service
    /// without model engines.
    std::int64_t kv_capacity_tokens = 0;
    /// Size of the KV cache of one token, in bytes.
    double kv_bytes_per_token = 0;
    /// Rate at which an engine sends or receives KV cache, in bytes per
    /// millisecond; 0 when not configured.
    double kv_bytes_per_ms = 0;
    /// Output tokens in one event of a stream.
    int tokens_per_event = 1;
    /// Concurrent requests of one engine; 0 when not configured.
    int slots = 0;
    /// Set when instances of the service may be ordered.
    std::optional<capacity_limits> capacity;

    auto operator<=>(service_profile const &) const = default;
};

/// Limits on the requests and connections of callers.
struct request_limits
{
    std::int64_t max_header_bytes = std::int64_t{16} * 1024;
    std::int64_t max_body_bytes = std::int64_t{4} * 1024 * 1024;
    /// Time after which an idle persistent connection is closed.
    duration idle_timeout = seconds(15);

    auto operator<=>(request_limits const &) const = default;
};

/// One version of the routes, the services and the request limits.
struct routing_configuration
{
    /// 0 until a configuration has been read.
    std::uint64_t version = 0;
    std::vector<route_definition> routes;
    std::vector<service_profile> services;
    request_limits limits;
    /// Client accounts and their keys; null when the configuration has none, so
    /// that requests need no key.
    std::shared_ptr<account_directory const> accounts;

    auto operator<=>(routing_configuration const &) const = default;
};

/// Selects the route of a request: of the routes of the host, the one with the
/// longest matching path prefix.
///
/// @param config the configuration to search
/// @param host host name in lower case, without a port
/// @param path path without the query
/// @return the route, or null when none matches
route_definition const *find_route(routing_configuration const &config,
                                   std::string_view host,
                                   std::string_view path);

/// @return the profile of the service, or null when it is not configured
service_profile const *find_service(routing_configuration const &config,
                                    std::string_view name);

/// @return for each service, the strictest `max_event_gap` of the routes that
///         use it; services without one are omitted
std::map<std::string, duration>
max_event_gap_by_service(routing_configuration const &config);

} // namespace agateledge

#endif
