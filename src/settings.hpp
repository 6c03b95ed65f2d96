#ifndef AGATELEDGE_SETTINGS_HPP
#define AGATELEDGE_SETTINGS_HPP

#include "configuration.hpp"
#include "memory_limits.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Certificate and key of a listener; empty paths turn TLS off.
struct tls_settings
{
    std::string certificate_file;
    std::string key_file;

    auto operator<=>(tls_settings const &) const = default;
};

/// Another daemon that is known at startup.
struct peer_settings
{
    std::string name;
    std::string address;
    std::string data_centre;

    auto operator<=>(peer_settings const &) const = default;
};

/// Operator who is accepted at the operators' listener.
struct operator_settings
{
    std::string name;
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    std::string token_sha256;

    auto operator<=>(operator_settings const &) const = default;
};

/// Limits of the callers' listener.
struct listener_limits
{
    std::int64_t max_body_bytes = 4 * 1024 * 1024;
    std::int64_t max_header_bytes = 32 * 1024;
    int max_connections = 4096;
    /// Time within which a caller must have sent its complete request.
    duration request_timeout = seconds(20);
    /// Time within which a caller must have sent the rest of a head that it has
    /// begun. The deployments allow it 3 s; a busy daemon reads late.
    duration head_timeout = seconds(4);
    /// Time for which a new connection is kept for its first request, also when
    /// room is short; a client that connects in order to send needs one round
    /// trip.
    duration silent_time = seconds(1);
    /// Time without a byte of a body, or without reading a byte of an answer,
    /// after which a connection may be closed when room is short. Longer than
    /// the retransmission time-out of a lost packet.
    duration stalled_time = seconds(2);
    /// Answer bytes buffered for a slow caller before the daemon stops reading
    /// from the engine.
    std::int64_t max_buffered_bytes = 64 * 1024;
    memory_limits memory;

    auto operator<=>(listener_limits const &) const = default;
};

/// Rate limits of this daemon's calls to the table service.
struct table_service_limits
{
    double writes_per_second = 60;
    double reads_per_second = 200;

    auto operator<=>(table_service_limits const &) const = default;
};

/// Settings of one daemon, read from its TOML file.
struct settings
{
    std::string name;
    std::string data_centre;
    std::string log_level = "info";
    /// IP addresses and ports of the listeners.
    std::string caller_address = "127.0.0.1:8080";
    std::string operator_address = "127.0.0.1:8081";
    std::string peer_address = "127.0.0.1:8082";
    tls_settings caller_tls;
    tls_settings operator_tls;
    /// IP addresses and ports of the platform's services.
    std::string table_address;
    std::string object_store_address;
    std::string weight_store_address;
    std::string membership_address;
    /// File with the keys that sign request ids, one per line; the first one
    /// signs and all verify. Reloaded on SIGHUP.
    std::string request_key_file;
    /// File with the keys that sign calls between daemons, in the same format.
    std::string peer_key_file;
    std::vector<peer_settings> peers;
    std::vector<operator_settings> operators;
    listener_limits limits;
    table_service_limits store;
    /// Configuration that is written as revision 1 when the table service has
    /// none.
    configuration initial;

    auto operator<=>(settings const &) const = default;
};

} // namespace agateledge

#endif
