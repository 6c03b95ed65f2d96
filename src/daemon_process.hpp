#ifndef AGATELEDGE_DAEMON_PROCESS_HPP
#define AGATELEDGE_DAEMON_PROCESS_HPP

#include "caller_listener.hpp"
#include "daemon_loop.hpp"
#include "engine_client.hpp"
#include "engine_poller.hpp"
#include "http_client.hpp"
#include "ids.hpp"
#include "membership_client.hpp"
#include "operator_listener.hpp"
#include "peer_client.hpp"
#include "peer_listener.hpp"
#include "service_client.hpp"
#include "settings.hpp"
#include "shutdown_wait.hpp"
#include "signing_keys.hpp"
#include "table_client.hpp"
#include "world.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>

namespace agateledge
{

/// One daemon with its adapters on the default GLib main context. Several may
/// run in one process.
class daemon_process
{
public:
    /// @param config settings of the daemon
    /// @param incarnation start time in microseconds; greater than that of any
    ///        earlier daemon of the same name
    /// @param seed seed of the daemon's random number generator
    daemon_process(settings config, incarnation_number incarnation,
                   std::uint64_t seed);
    ~daemon_process();
    daemon_process(daemon_process const &) = delete;
    daemon_process &operator=(daemon_process const &) = delete;

    /// Loads the keys, applies the initial configuration and starts the
    /// listeners.
    ///
    /// @return `settings_invalid` when a setting cannot be used
    absl::Status start();

    /// Reloads keys and certificates. A file that cannot be loaded keeps its
    /// previous content in use, and the failure is logged.
    ///
    /// @return OK, or the first failure
    absl::Status reload();

    /// Starts a graceful shutdown; `on_stopped` runs when it is complete.
    void shut_down();

    world &state() { return state_; }
    daemon_loop &loop() { return loop_; }
    http_client &http() { return http_; }
    caller_listener &callers() { return callers_; }

    /// Listener for other daemons; started only when a peer key file is set.
    peer_listener &peers() { return peer_listener_; }

    /// Listener for operators; started only when the settings define at least
    /// one operator.
    operator_listener &operators() { return operators_; }

    /// Called once when the shutdown is complete.
    std::function<void()> on_stopped;

private:
    void install_handlers();
    absl::Status load_keys();
    absl::Status start_peer_listener();
    void install_peer_handlers();

    settings config_;
    world state_;
    daemon_loop loop_;
    http_client http_;
    signing_keys request_keys_;
    caller_listener callers_;
    engine_client engines_;
    engine_poller poller_;
    service_client services_;
    table_client table_;
    signing_keys peer_keys_;
    peer_listener peer_listener_;
    peer_client peer_client_;
    membership_client membership_;
    operator_listener operators_;
    shutdown_wait shutdown_;
    /// True once the tick has reported that the shutdown is complete.
    bool shutdown_complete_ = false;
};

} // namespace agateledge

#endif
