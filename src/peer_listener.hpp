#ifndef AGATELEDGE_PEER_LISTENER_HPP
#define AGATELEDGE_PEER_LISTENER_HPP

#include "http_server.hpp"
#include "peer_rpc_server.hpp"

#include "absl/status/status.h"

#include <string>

namespace agateledge
{

/// Listener for the calls of other daemons, JSON-RPC 2.0 at /rpc.
class peer_listener
{
public:
    /// @param state this daemon
    /// @param loop receives the heartbeats
    /// @param keys keys that sign the calls between daemons
    peer_listener(world &state, daemon_loop &loop, signing_keys const &keys);

    /// Starts the listener.
    ///
    /// @param address IP address and port; port 0 selects a free one
    /// @return `settings_invalid` for an address that is malformed or in use
    absl::Status start(std::string const &address);

    /// @return the IP address and port that the listener is bound to
    std::string address() const { return server_.address(); }

private:
    peer_rpc_server rpc_;
    http_server server_;
};

} // namespace agateledge

#endif
