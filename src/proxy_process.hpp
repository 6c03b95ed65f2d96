#ifndef AGATELEDGE_PROXY_PROCESS_HPP
#define AGATELEDGE_PROXY_PROCESS_HPP

#include "cache_reader.hpp"
#include "daemon_loop.hpp"
#include "datagram_socket.hpp"
#include "http_client.hpp"
#include "http_server.hpp"
#include "ids.hpp"
#include "instance_client.hpp"
#include "limited_clients.hpp"
#include "overload_gate.hpp"
#include "platform_client.hpp"
#include "proxy_codec.hpp"
#include "proxy_listener.hpp"
#include "proxy_settings.hpp"
#include "role_order_client.hpp"
#include "row_client.hpp"
#include "shutdown_wait.hpp"
#include "world.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

class http_exchange;

/// One proxy daemon behind the platform's load balancer: its state, event loop
/// and network adapters, on the default GLib main context.
class proxy_process
{
public:
    /// @param config settings of the daemon
    /// @param file settings file, read again by `reload`
    /// @param codec encodes and decodes the platform's protocols
    /// @param incarnation number of this run of the daemon: its start time
    /// @param seed seed of the daemon's random number generator
    proxy_process(proxy_settings config, std::string file, proxy_codec codec,
                  incarnation_number incarnation, std::uint64_t seed);
    ~proxy_process();
    proxy_process(proxy_process const &) = delete;
    proxy_process &operator=(proxy_process const &) = delete;

    /// Starts the listeners and begins to poll the store.
    ///
    /// @return `settings_invalid` when a setting cannot be used
    absl::Status start();

    /// Reloads the settings file and applies the settings that may change while
    /// the daemon runs. On failure the previous settings stay in use.
    void reload();

    /// Starts a graceful shutdown; `on_stopped` runs at its end.
    void shut_down();

    /// Called once the shutdown has finished.
    std::function<void()> on_stopped;

private:
    /// @return true while the daemon reports itself ready for new connections
    bool ready() const;

    void install_handlers();
    void set_up_duties();
    void apply(proxy_settings const &config);
    void reload_if_changed();
    std::optional<std::string> read_settings_file_text() const;
    void send_peer_load(peer_load_send const &send);
    /// Sends a load report; failures count in `load_reports`.
    void send_datagrams(std::vector<std::string> const &to,
                        std::string const &bytes);
    void send_part_evidence(part_evidence_send const &send);
    void send_store_view(peer_report<store_view_report> const &send);
    void send_usage_snapshot(peer_report<usage_snapshot> const &send);
    void handle_datagram(std::string_view bytes);
    void install_configuration_sharing();
    void give_configuration(http_exchange &request);
    void fetch_configuration(configuration_fetch const &fetch);
    void handle_fetched_configuration(configuration_fetch const &fetch,
                                      http_reply const &reply);
    void keep_configuration(std::uint64_t version, std::string const &text);
    bool admits_request();
    void record_sent_call(proxy_call const &call, duration since_placed);
    void watch_limits(connection_acceptor &acceptor);
    void log(log_level level, std::string event,
             std::vector<std::pair<std::string, std::string>> fields);

    proxy_settings config_;
    std::string file_;
    std::string file_text_;
    proxy_codec codec_;
    world state_;
    daemon_loop loop_;
    http_client http_;
    http_client instance_http_;
    overload_gate gate_;
    random_source gate_random_;
    proxy_listener callers_;
    instance_client instances_;
    cache_reader caches_;
    row_client rows_;
    platform_client platform_;
    role_order_client role_orders_;
    datagram_socket peers_;
    http_server neighbours_;
    /// Newest configuration, as the store sent it, for neighbours that the
    /// store refuses.
    std::uint64_t configuration_version_ = 0;
    std::string configuration_text_;
    http_server readiness_;
    http_server metrics_;
    limited_clients limited_clients_;
    shutdown_wait shutdown_;
    unsigned file_check_timer_ = 0;
    bool stop_allowed_ = false;
};

} // namespace agateledge

#endif
