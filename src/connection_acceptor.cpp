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
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

constexpr guint deadline_check_interval_ms = 500;
constexpr int listen_backlog = 1024;

/// Connections that may be open beyond the limit while they are shut down;
/// libsoup needs some iterations of the main loop to release one.
constexpr std::size_t max_closing = 16;

/// Time without accepting connections while none can be taken; shorter than
/// callers notice, and long enough for libsoup to release some.
constexpr guint accept_pause_ms = 10;

/// Part of the host's memory that heads, chunk headers and trailers may take
/// that are not complete: 8 MB, or 480 of the largest heads, on a host of
/// 120 MB.
constexpr std::size_t unfinished_memory_share = 16;

std::string host_of(GSocketAddress *address)
{
    if (!G_IS_INET_SOCKET_ADDRESS(address))
    {
        return {};
    }
    gchar_ptr const text(g_inet_address_to_string(
        g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address))));
    return text.get();
}

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

    static gboolean resume(gpointer self)
    {
        auto &acceptor = *static_cast<connection_acceptor *>(self);
        acceptor.pause_source_ = 0;
        acceptor.listen();
        return G_SOURCE_REMOVE;
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
        connections_.at(key).activity->on_change = nullptr;
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
    listen();
    return absl::OkStatus();
}

void connection_acceptor::listen()
{
    listener_source_ = g_unix_fd_add(g_socket_get_fd(listener_.get()), G_IO_IN,
                                     callbacks::incoming, this);
}

void connection_acceptor::pause_accepting()
{
    g_source_remove(std::exchange(listener_source_, 0));
    pause_source_ = g_timeout_add(accept_pause_ms, callbacks::resume, this);
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
    if (pause_source_ != 0)
    {
        g_source_remove(std::exchange(pause_source_, 0));
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
    while (prepare_accept())
    {
        GError *error = nullptr;
        gobject_ptr<GSocket> const socket(
            g_socket_accept(listener_.get(), nullptr, &error));
        gerror_ptr const owned(error);
        out_of_descriptors_ =
            g_error_matches(error, G_IO_ERROR,
                            G_IO_ERROR_TOO_MANY_OPEN_FILES) != FALSE;
        if (!socket)
        {
            if (out_of_descriptors_)
            {
                close_idle();
                pause_accepting();
            }
            return;
        }
        gobject_ptr<GSocketConnection> const stream(
            g_socket_connection_factory_create_connection(socket.get()));
        accept(stream.get());
    }
}

/// @return false when accepting pauses until connections were released
bool connection_acceptor::prepare_accept()
{
    if (connections_.size() <
        static_cast<std::size_t>(limits_.max_connections) + max_closing)
    {
        return true;
    }
    pause_accepting();
    return false;
}

/// Shuts down the connection that has been idle for the longest time, of the
/// client address that has the most connections; first one that has sent no
/// part of a head.
///
/// @return false when there is none
bool connection_acceptor::close_idle()
{
    auto const rank = [this](connection const &item)
    {
        return std::tuple(item.head_since == instant::max(),
                          connections_by_client_.at(item.client),
                          -item.idle_since.time_since_epoch());
    };
    auto const now = daemon_loop::clock_now();
    connection const *chosen = nullptr;
    for (auto const &[key, item] : connections_)
    {
        if (is_idle(item, now) &&
            (chosen == nullptr || rank(item) > rank(*chosen)))
        {
            chosen = &item;
        }
    }
    if (chosen == nullptr)
    {
        return false;
    }
    shut_down(chosen->remote.get(), "idle");
    return true;
}

bool connection_acceptor::is_idle(connection const &item, instant now) const
{
    return !item.in_request && !item.closing &&
           (item.had_request || now - item.idle_since >= limits_.silent_time);
}

bool connection_acceptor::can_accept() const
{
    if (out_of_descriptors_)
    {
        return false;
    }
    auto const now = daemon_loop::clock_now();
    return open_connections() <
               static_cast<std::size_t>(limits_.max_connections) ||
           std::ranges::any_of(connections_, [this, now](auto const &item)
                               { return is_idle(item.second, now); });
}

void connection_acceptor::accept(GSocketConnection *stream)
{
    gobject_ptr<GSocketAddress> address(
        g_socket_connection_get_remote_address(stream, nullptr));
    if (!address)
    {
        return;
    }
    auto *remote = address.get();
    auto client = host_of(remote);
    if (open_connections() >=
            static_cast<std::size_t>(limits_.max_connections) &&
        !close_idle() && !(make_room && make_room()))
    {
        ++refused_;
        if (on_limited)
        {
            on_limited(client, "connection_limit");
        }
        g_io_stream_close(G_IO_STREAM(stream), nullptr, nullptr);
        return;
    }
    disable_nagle(stream);
    connection item;
    item.remote = std::move(address);
    item.stream = stream;
    item.idle_since = daemon_loop::clock_now();
    item.deadline = item.idle_since + limits_.request_timeout;
    item.activity = std::make_shared<connection_activity>();
    item.activity->on_change = [this, remote](std::size_t before)
    { update_unfinished(remote, before); };
    ++connections_by_client_[client];
    item.client = std::move(client);
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
    auto const guarded =
        guard_requests(transport.get(), connections_.at(remote).activity);
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

void connection_acceptor::shut_down(connection_key key, char const *reason)
{
    auto const found = connections_.find(key);
    if (found == connections_.end() ||
        std::exchange(found->second.closing, true))
    {
        return;
    }
    ++closing_;
    unfinished_bytes_ -= found->second.activity->unfinished_bytes;
    if (reason != nullptr && on_limited)
    {
        on_limited(found->second.client, reason);
    }
    shut_down(key);
}

bool connection_acceptor::is_closing(connection_key key) const
{
    auto const found = connections_.find(key);
    return found == connections_.end() || found->second.closing;
}

void connection_acceptor::begin_request(connection_key key)
{
    auto const found = connections_.find(key);
    if (found != connections_.end())
    {
        found->second.in_request = true;
        found->second.had_request = true;
    }
}

void connection_acceptor::end_request(connection_key key)
{
    auto const found = connections_.find(key);
    if (found != connections_.end())
    {
        auto &item = found->second;
        item.in_request = false;
        item.idle_since = daemon_loop::clock_now();
        if (item.head_since != instant::max())
        {
            // The head was behind the request that has just ended.
            item.head_since = item.idle_since;
        }
    }
}

void connection_acceptor::update_unfinished(connection_key key,
                                            std::size_t before)
{
    auto &item = connections_.at(key);
    if (item.closing)
    {
        return;
    }
    auto const bytes = item.activity->unfinished_bytes;
    if (bytes == 0 || before == 0)
    {
        item.head_since =
            bytes == 0 ? instant::max() : daemon_loop::clock_now();
    }
    unfinished_bytes_ += bytes - before;
    if (bytes > before)
    {
        close_unfinished();
    }
}

/// Shuts down the connections with the largest incomplete heads until the rest
/// fits into its limit. Their requests have not run, as they are not complete.
void connection_acceptor::close_unfinished()
{
    while (unfinished_bytes_ >
           limits_.memory.host_bytes / unfinished_memory_share)
    {
        auto const largest = std::ranges::max_element(
            connections_, std::less<>(),
            [](auto const &item) {
                return item.second.closing
                           ? 0
                           : item.second.activity->unfinished_bytes;
            });
        shut_down(largest->first, "head_memory");
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
    std::vector<std::pair<connection_key, char const *>> expired;
    for (auto const &[key, item] : connections_)
    {
        if (item.deadline <= now)
        {
            // The end of a connection that nobody uses is not reported.
            expired.emplace_back(key, item.in_request ? "timeout" : nullptr);
        }
        else if (!item.in_request && item.head_since != instant::max() &&
                 now - item.head_since >= limits_.head_timeout)
        {
            expired.emplace_back(key, "head_timeout");
        }
    }
    std::ranges::for_each(expired, [this](auto const &item)
                          { shut_down(item.first, item.second); });
}

void connection_acceptor::remove_connection(GObject *stream)
{
    auto const found = by_stream_.find(stream);
    if (found != by_stream_.end())
    {
        auto const item = connections_.find(found->second);
        if (item->second.closing)
        {
            --closing_;
        }
        else
        {
            unfinished_bytes_ -= item->second.activity->unfinished_bytes;
        }
        item->second.activity->on_change = nullptr;
        auto const client = connections_by_client_.find(item->second.client);
        if (--client->second == 0)
        {
            connections_by_client_.erase(client);
        }
        connections_.erase(item);
        by_stream_.erase(found);
    }
}

} // namespace agateledge
