#ifndef AGATELEDGE_CONNECTION_ACCEPTOR_HPP
#define AGATELEDGE_CONNECTION_ACCEPTOR_HPP

#include "connection_activity.hpp"
#include "gobject_ptr.hpp"
#include "settings.hpp"
#include "time.hpp"

#include "absl/status/status.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// Accepts the connections of one listener, adds TLS and passes them to a
/// `SoupServer`. Limits their number and the memory of heads that are not
/// complete, shuts down those that miss a deadline, and reports when a peer has
/// closed its side. When the limit is reached, a new connection takes the place
/// of an idle one.
class connection_acceptor
{
public:
    /// Identifies an open connection; it is the remote address object that
    /// `soup_server_message_get_remote_address` returns.
    using connection_key = GSocketAddress *;

    /// @param server receives the connections; must outlive this object
    /// @param limits maximum number of connections and their timeouts
    connection_acceptor(SoupServer *server, listener_limits limits);
    ~connection_acceptor();
    connection_acceptor(connection_acceptor const &) = delete;
    connection_acceptor &operator=(connection_acceptor const &) = delete;

    /// Starts listening.
    ///
    /// @param address IP address and port; port 0 takes a free one
    /// @param tls certificate and key; empty paths for plain HTTP
    /// @return `settings_invalid` when the address or the certificate cannot be
    ///         used
    absl::Status start(std::string const &address, tls_settings const &tls);

    /// Reloads the certificate. Open connections keep theirs; on failure the
    /// previous certificate stays in use.
    absl::Status reload_certificate();

    /// Stops accepting connections; open ones stay.
    void stop();

    /// Sets the deadline of a connection. The connection is shut down when it
    /// passes, unless it is replaced or cleared before.
    void set_deadline(connection_key key, duration time);

    /// Removes the deadline of a connection.
    void clear_deadline(connection_key key);

    /// A request has begun: its head is complete. Until it ends, the
    /// connection is not idle.
    void begin_request(connection_key key);
    void end_request(connection_key key);

    /// Shuts the connection down at once, in both directions.
    void shut_down(connection_key key);

    /// Shuts the connection down because of a limit.
    ///
    /// @param reason reported to `on_limited`; null to report nothing
    void shut_down(connection_key key, char const *reason);

    /// @return true when the connection is being shut down because of a limit
    bool is_closing(connection_key key) const;

    /// @return true while a further connection would be accepted
    bool can_accept() const;

    /// @return true when the peer has closed its side
    bool peer_closed(connection_key key) const;

    /// @return port of the listening socket
    int port() const { return port_; }

    /// @return number of connections, without those being shut down because of
    ///         a limit
    std::size_t open_connections() const
    {
        return connections_.size() - closing_;
    }

    /// @return number of connections closed on accept because too many were
    ///         open
    std::int64_t refused_connections() const { return refused_; }

    /// Called when the peer has closed its side of an open connection.
    std::function<void(connection_key)> on_peer_closed;

    /// Called when all connections are in use and a further one has arrived;
    /// shuts down one whose client has stalled.
    ///
    /// @return false when there is none
    std::function<bool()> make_room;

    /// Called when a connection is closed, or a request refused, because of a
    /// limit.
    std::function<void(std::string const &client, char const *reason)>
        on_limited;

private:
    struct connection
    {
        gobject_ptr<GSocketAddress> remote;
        /// Owned by the server; the entry is removed when it is destroyed.
        GSocketConnection *stream = nullptr;
        std::string client;
        std::shared_ptr<connection_activity> activity;
        instant deadline = instant::max();
        instant idle_since{};
        /// Arrival of the first bytes of a head that is not complete.
        instant head_since = instant::max();
        bool in_request = false;
        bool had_request = false;
        bool peer_closed = false;
        bool closing = false;
    };
    struct callbacks;

    void listen();
    void pause_accepting();
    void accept_pending();
    bool prepare_accept();
    bool close_idle();
    bool is_idle(connection const &item, instant now) const;
    void update_unfinished(connection_key key, std::size_t before);
    void close_unfinished();
    void accept(GSocketConnection *stream);
    void pass_to_server(GSocketConnection *stream, GSocketAddress *remote);
    void watch_peer(GSocketConnection *stream, connection_key key) const;
    void read_peer_events();
    void shut_down_expired();
    void remove_connection(GObject *stream);

    SoupServer *server_;
    listener_limits limits_;
    tls_settings tls_;
    gobject_ptr<GTlsCertificate> certificate_;
    gobject_ptr<GSocket> listener_;
    std::unordered_map<connection_key, connection> connections_;
    std::unordered_map<GObject *, connection_key> by_stream_;
    std::unordered_map<std::string, int> connections_by_client_;
    std::size_t closing_ = 0;
    /// Sum over the connections that are not closing.
    std::size_t unfinished_bytes_ = 0;
    /// The process had no descriptor for the last connection.
    bool out_of_descriptors_ = false;
    std::int64_t refused_ = 0;
    int port_ = 0;
    int epoll_ = -1;
    unsigned listener_source_ = 0;
    unsigned pause_source_ = 0;
    unsigned epoll_source_ = 0;
    unsigned deadline_source_ = 0;
};

} // namespace agateledge

#endif
