#ifndef AGATELEDGE_PROXY_SETTINGS_HPP
#define AGATELEDGE_PROXY_SETTINGS_HPP

#include "proxy_limits.hpp"
#include "settings.hpp"
#include "time.hpp"

#include "absl/status/statusor.h"

#include <compare>
#include <string>

namespace agateledge
{

/// Settings of a proxy daemon that runs behind the platform's load balancer.
struct proxy_settings
{
    std::string name;
    std::string data_centre;
    std::string log_level = "info";
    /// IP addresses and ports of the listeners.
    std::string caller_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string metrics_path = "/metrics";
    /// IP address and port for load reports of other daemons; empty for none.
    std::string peer_address;
    /// IP address and port of the platform's store.
    std::string store_address;
    /// Maximum number of open file descriptors of the process.
    int max_descriptors = 4096;
    /// Limits on clients; see `listener_limits`.
    duration head_timeout = listener_limits().head_timeout;
    duration silent_client_time = listener_limits().silent_time;
    duration stalled_client_time = listener_limits().stalled_time;
    /// Maximum number of open connections at each of the listeners for
    /// readiness and metrics; several times the pollers of a deployment.
    int internal_connections = 32;
    proxy_limits limits;

    auto operator<=>(proxy_settings const &) const = default;
};

/// Reads and checks a settings file.
///
/// @param file path of the TOML file
/// @return the settings, or `settings_invalid` listing all errors of the file
absl::StatusOr<proxy_settings> load_proxy_settings(std::string const &file);

/// As `load_proxy_settings`, for the text of a settings file.
///
/// @param text TOML document
/// @param file file name used in error messages
absl::StatusOr<proxy_settings> parse_proxy_settings(std::string const &text,
                                                    std::string const &file);

} // namespace agateledge

#endif
