#ifndef AGATELEDGE_RELAY_SETTINGS_HPP
#define AGATELEDGE_RELAY_SETTINGS_HPP

#include "relay_limits.hpp"

#include "absl/status/statusor.h"

#include <compare>
#include <string>

namespace agateledge
{

/// Settings of a daemon that runs behind the platform's balancer.
struct relay_settings
{
    std::string name;
    std::string data_centre;
    std::string log_level = "info";
    /// IP addresses and ports of the listeners.
    std::string caller_address;
    std::string readiness_address;
    std::string metrics_address;
    std::string metrics_path = "/metrics";
    /// Where reports of other daemons are received; empty for none.
    std::string peer_address;
    /// IP address and port of the platform's store.
    std::string store_address;
    /// Descriptors that the process may open.
    int max_descriptors = 4096;
    relay_limits limits;

    auto operator<=>(relay_settings const &) const = default;
};

/// Reads and checks a settings file.
///
/// @param file path of the TOML file
/// @return the settings, or `settings_invalid` with all faults of the file
absl::StatusOr<relay_settings> load_relay_settings(std::string const &file);

/// As `load_relay_settings`, from a text.
///
/// @param file name that the messages show
absl::StatusOr<relay_settings> parse_relay_settings(std::string const &text,
                                                    std::string const &file);

} // namespace agateledge

#endif
