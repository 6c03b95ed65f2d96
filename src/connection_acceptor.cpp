#include "connection_acceptor.hpp"

#include "daemon_loop.hpp"
#include "guarded_stream.hpp"
#include "result_code.hpp"
#include "socket_address.hpp"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

constexpr guint deadline_check_interval_ms = 500;
constexpr int listen_backlog = 1024;

absl::Status settings_error(std::string const &what, GError *error)
{
    gerror_ptr const owned(error);
    return make_status(result_code::settings_invalid,
                       what + ": " + (owned ? owned->message : "invalid"));
}

/// Disables Nagle's algorithm, which would delay the small parts of a streamed
/// answer.
void disable_nagle(GSocketConnection *stream)
{
    g_socket_set_option(g_socket_connection_get_socket(stream), IPPROTO_TCP,
                        TCP_NODELAY, 1, nullptr);
}

/// @return a non-blocking listening socket; null with `error` set when the
///         address cannot be used
gobject_ptr<GSocket> listen_on(GSocketAddress *address, GError **error)
{
    gobject_ptr<GSocket> listener(
        g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, error));
    if (!listener)
    {
        return nullptr;
    }
    g_socket_set_blocking(listener.get(), FALSE);
    g_socket_set_listen_backlog(listener.get(), listen_backlog);
    bool const listening =
        g_socket_bind(listener.get(), address, TRUE, error) != FALSE &&
        g_socket_listen(listener.get(), error) != FALSE;
    return listening ? std::move(listener) : nullptr;
}

/// libsoup closes a connection after one request unless the server has a
/// listener of its own. This adds one that no client connects to: a Unix socket
/// with a name that the kernel chooses.
void add_placeholder_listener(SoupServer *server)
{
    auto const descriptor = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    auto const *generic = reinterpret_cast<sockaddr const *>(&address);
    if (bind(descriptor, generic, sizeof(sa_family_t)) != 0 ||
        listen(descriptor, 0) != 0)
    {
        close(descriptor);
        return;
    }
    gobject_ptr<GSocket> const listener(
        g_socket_new_from_fd(descriptor, nullptr));
    soup_server_listen_socket(server, listener.get(),
                              static_cast<SoupServerListenOptions>(0), nullptr);
}

} // namespace

struct connection_acceptor::callbacks
{
    static gboolean incoming(gint, GIOCondition, gpointer self)
    {
        static_cast<connection_acceptor *>(self)->accept_pending();
        return G_SOURCE_CONTINUE;
    }

    static gboolean peer_event(gint, GIOCondition, gpointer self)
    {
        static_cast<connection_acceptor *>(self)->read_peer_events();
        return G_SOURCE_CONTINUE;
    }

    static gboolean shut_down_expired(gpointer self)
    {
        static_cast<connection_acceptor *>(self)->shut_down_expired();
        return G_SOURCE_CONTINUE;
    }

    static void destroyed(gpointer self, GObject *stream)
    {
        static_cast<connection_acceptor *>(self)->remove_connection(stream);
    }
};

connection_acceptor::connection_acceptor(SoupServer *server,
                                         listener_limits limits)
    : server_(server), limits_(limits), epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    add_placeholder_listener(server);
    epoll_source_ = g_unix_fd_add(epoll_, G_IO_IN, callbacks::peer_event, this);
    deadline_source_ = g_timeout_add(deadline_check_interval_ms,
                                     callbacks::shut_down_expired, this);
}

connection_acceptor::~connection_acceptor()
{
    stop();
    g_source_remove(epoll_source_);
    g_source_remove(deadline_source_);
    for (auto const &[stream, key] : by_stream_)
    {
        g_object_weak_unref(stream, callbacks::destroyed, this);
    }
    close(epoll_);
}

absl::Status connection_acceptor::start(std::string const &address,
                                        tls_settings const &tls)
{
    tls_ = tls;
    auto certificate = reload_certificate();
    if (!certificate.ok())
    {
        return certificate;
    }
    auto const local = parse_socket_address(address);
    if (!local)
    {
        return settings_error("address " + address, nullptr);
    }
    GError *error = nullptr;
    listener_ = listen_on(local.get(), &error);
    if (!listener_)
    {
        return settings_error("cannot listen on " + address, error);
    }
    gobject_ptr<GSocketAddress> const bound(
        g_socket_get_local_address(listener_.get(), nullptr));
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    listener_source_ = g_unix_fd_add(g_socket_get_fd(listener_.get()), G_IO_IN,
                                     callbacks::incoming, this);
    return absl::OkStatus();
}

absl::Status connection_acceptor::reload_certificate()
{
    if (tls_.certificate_file.empty())
    {
        return absl::OkStatus();
    }
    GError *error = nullptr;
    auto *certificate = g_tls_certificate_new_from_files(
        tls_.certificate_file.c_str(), tls_.key_file.c_str(), &error);
    if (certificate == nullptr)
    {
        return settings_error(
            "cannot load certificate " + tls_.certificate_file, error);
    }
    certificate_.reset(certificate);
    return absl::OkStatus();
}

void connection_acceptor::stop()
{
    if (listener_source_ != 0)
    {
        g_source_remove(std::exchange(listener_source_, 0));
    }
    if (listener_)
    {
        g_socket_close(listener_.get(), nullptr);
    }
}

// Takes all waiting connections, because an iteration of the main loop can take
// long, and each of them would wait for one more iteration.
void connection_acceptor::accept_pending()
{
    while (gobject_ptr<GSocket> const socket{
        g_socket_accept(listener_.get(), nullptr, nullptr)})
    {
        gobject_ptr<GSocketConnection> const stream(
            g_socket_connection_factory_create_connection(socket.get()));
        accept(stream.get());
    }
}

void connection_acceptor::accept(GSocketConnection *stream)
{
    if (connections_.size() >=
        static_cast<std::size_t>(limits_.max_connections))
    {
        ++refused_;
        g_io_stream_close(G_IO_STREAM(stream), nullptr, nullptr);
        return;
    }
    auto *remote = g_socket_connection_get_remote_address(stream, nullptr);
    if (remote == nullptr)
    {
        return;
    }
    disable_nagle(stream);
    connection item;
    item.remote.reset(remote);
    item.stream = stream;
    item.deadline = daemon_loop::clock_now() + limits_.request_timeout;
    connections_.emplace(remote, std::move(item));
    by_stream_.emplace(G_OBJECT(stream), remote);
    g_object_weak_ref(G_OBJECT(stream), callbacks::destroyed, this);
    watch_peer(stream, remote);
    pass_to_server(stream, remote);
}

void connection_acceptor::pass_to_server(GSocketConnection *stream,
                                         GSocketAddress *remote)
{
    gobject_ptr<GSocketAddress> const local(
        g_socket_connection_get_local_address(stream, nullptr));
    auto transport = gobject_share(G_IO_STREAM(stream));
    if (certificate_)
    {
        auto *tls = g_tls_server_connection_new(transport.get(),
                                                certificate_.get(), nullptr);
        if (tls == nullptr)
        {
            return;
        }
        transport.reset(tls);
    }
    auto const guarded = guard_requests(transport.get());
    soup_server_accept_iostream(server_, guarded.get(), local.get(), remote,
                                nullptr);
}

void connection_acceptor::watch_peer(GSocketConnection *stream,
                                     connection_key key) const
{
    auto const socket = g_socket_get_fd(g_socket_connection_get_socket(stream));
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = key;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
}

void connection_acceptor::read_peer_events()
{
    constexpr int max_events = 64;
    std::array<epoll_event, max_events> events{};
    auto const count = epoll_wait(epoll_, events.data(), max_events, 0);
    std::for_each_n(events.begin(), std::max(count, 0),
                    [this](epoll_event const &event)
                    {
                        auto *key =
                            static_cast<GSocketAddress *>(event.data.ptr);
                        auto const found = connections_.find(key);
                        if (found == connections_.end() ||
                            std::exchange(found->second.peer_closed, true))
                        {
                            return;
                        }
                        if (on_peer_closed)
                        {
                            on_peer_closed(key);
                        }
                    });
}

void connection_acceptor::set_deadline(connection_key key, duration time)
{
    auto const found = connections_.find(key);
    if (found != connections_.end())
    {
        found->second.deadline = daemon_loop::clock_now() + time;
    }
}

void connection_acceptor::clear_deadline(connection_key key)
{
    auto const found = connections_.find(key);
    if (found != connections_.end())
    {
        found->second.deadline = instant::max();
    }
}

void connection_acceptor::shut_down(connection_key key)
{
    auto const found = connections_.find(key);
    if (found != connections_.end())
    {
        auto *socket = g_socket_connection_get_socket(found->second.stream);
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

bool connection_acceptor::peer_closed(connection_key key) const
{
    auto const found = connections_.find(key);
    return found != connections_.end() && found->second.peer_closed;
}

void connection_acceptor::shut_down_expired()
{
    auto const now = daemon_loop::clock_now();
    std::vector<connection_key> expired;
    for (auto const &[key, item] : connections_)
    {
        if (item.deadline <= now)
        {
            expired.push_back(key);
        }
    }
    std::ranges::for_each(expired,
                          [this](connection_key key) { shut_down(key); });
}

void connection_acceptor::remove_connection(GObject *stream)
{
    auto const found = by_stream_.find(stream);
    if (found != by_stream_.end())
    {
        connections_.erase(found->second);
        by_stream_.erase(found);
    }
}

} // namespace agateledge
