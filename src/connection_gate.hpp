#ifndef AGATELEDGE_CONNECTION_GATE_HPP
#define AGATELEDGE_CONNECTION_GATE_HPP

#include "gobject_ptr.hpp"
#include "settings.hpp"
#include "time.hpp"

#include "absl/status/status.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// Accepts the connections of one listener and gives them to a `SoupServer`. It
/// bounds their number, cuts those that miss a deadline, tells when a peer has
/// closed its side, and adds TLS.
class connection_gate
{
public:
    /// Names an open connection; it is the remote address object that
    /// `soup_server_message_get_remote_address` returns.
    using connection_key = GSocketAddress *;

    /// @param server takes the connections; outlives the gate
    /// @param limits bounds on connections and times
    connection_gate(SoupServer *server, listener_limits limits);
    ~connection_gate();
    connection_gate(connection_gate const &) = delete;
    connection_gate &operator=(connection_gate const &) = delete;

    /// Begins to listen.
    ///
    /// @param address IP address and port; port 0 takes a free one
    /// @param tls certificate and key; empty paths for plain HTTP
    /// @return `settings_invalid` when the address or the certificate cannot be
    ///         used
    absl::Status start(std::string const &address, tls_settings const &tls);

    /// Reads the certificate again; open connections keep theirs. The old one
    /// stays on a failure.
    absl::Status reload_certificate();

    /// Accepts no further connection.
    void stop();

    /// Cuts the connection unless a new deadline is set in time.
    void expect_within(connection_key key, duration time);

    /// The connection may stay as it is for any time.
    void expect_nothing(connection_key key);

    /// Cuts the connection at once.
    void cut(connection_key key);

    /// @return true when the peer has closed its side
    bool peer_closed(connection_key key) const;

    /// @return port that the gate listens on
    int port() const { return port_; }

    std::size_t open_connections() const { return connections_.size(); }

    /// Connections that were closed at once because too many were open.
    std::int64_t refused_connections() const { return refused_; }

    /// Called when the peer has closed its side of an open connection.
    std::function<void(connection_key)> on_peer_closed;

private:
    struct connection
    {
        gobject_ptr<GSocketAddress> remote;
        /// Owned by the server; removed here when it is destroyed.
        GSocketConnection *stream = nullptr;
        instant deadline = instant::max();
        bool peer_closed = false;
    };
    struct callbacks;

    void accept(GSocketConnection *stream);
    void hand_over(GSocketConnection *stream, GSocketAddress *remote);
    void watch_peer(GSocketConnection *stream, connection_key key) const;
    void read_peer_events();
    void sweep();
    void forget(GObject *stream);

    SoupServer *server_;
    listener_limits limits_;
    tls_settings tls_;
    gobject_ptr<GTlsCertificate> certificate_;
    gobject_ptr<GSocketService> service_;
    std::unordered_map<connection_key, connection> connections_;
    std::unordered_map<GObject *, connection_key> by_stream_;
    std::int64_t refused_ = 0;
    int port_ = 0;
    int epoll_ = -1;
    unsigned epoll_source_ = 0;
    unsigned sweep_source_ = 0;
};

} // namespace agateledge

#endif
