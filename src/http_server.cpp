#include "http_server.hpp"

#include "daemon_loop.hpp"
#include "http_exchange.hpp"
#include "server_message.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace agateledge
{

namespace
{

/// Time for which an idle connection is kept open between two requests.
constexpr duration keep_alive_timeout = seconds(75);

} // namespace

struct http_server::path_handler
{
    http_server &server;
    handler serve;
};

struct http_server::callbacks
{
    static http_server &server_of(gpointer self)
    {
        return *static_cast<http_server *>(self);
    }

    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        // libsoup would keep each piece that was received separately.
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        g_signal_connect(message, "got-headers", G_CALLBACK(got_headers), self);
        g_signal_connect(message, "got-chunk", G_CALLBACK(got_chunk), self);
        g_signal_connect(message, "finished", G_CALLBACK(ended), self);
        g_signal_connect(message, "disconnected", G_CALLBACK(ended), self);
    }

    static void got_headers(SoupServerMessage *message, gpointer self)
    {
        auto &server = server_of(self);
        auto *connection = soup_server_message_get_remote_address(message);
        auto &request = server.open_[message];
        request.connection = connection;
        request.begun_at = daemon_loop::clock_now();
        server.acceptor_.begin_request(connection);
        server.acceptor_.set_deadline(
            connection, server.limits_.connections.request_timeout);
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        server_of(self).receive(message, chunk);
    }

    static void ended(SoupServerMessage *message, gpointer self)
    {
        server_of(self).end(message);
    }

    static void serve(SoupServer *, SoupServerMessage *message, char const *,
                      GHashTable *query, gpointer data)
    {
        auto const &target = *static_cast<path_handler *>(data);
        target.serve(std::make_shared<http_exchange>(
            message, query, target.server.take_body(message)));
    }

    static void destroy(gpointer data)
    {
        delete static_cast<path_handler *>(data);
    }
};

http_server::http_server(http_server_limits limits)
    : server_(soup_server_new("server-header", "agateledge-standin", nullptr)),
      limits_(limits), acceptor_(server_.get(), limits.connections)
{
    acceptor_.make_room = [this] { return close_stalled(); };
    g_signal_connect(server_.get(), "request-started",
                     G_CALLBACK(callbacks::started), this);
}

http_server::~http_server()
{
    std::ranges::for_each(
        open_, [this](auto const &item)
        { g_signal_handlers_disconnect_by_data(item.first, this); });
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    soup_server_disconnect(server_.get());
}

void http_server::receive(SoupServerMessage *message, GBytes *chunk)
{
    auto &request = open_[message];
    if (acceptor_.is_closing(request.connection))
    {
        return;
    }
    gsize size = 0;
    auto const *bytes =
        static_cast<char const *>(g_bytes_get_data(chunk, &size));
    request.body.append({bytes, size});
    auto const capacity = request.body.capacity();
    held_bytes_ += capacity - std::exchange(request.held_bytes, capacity);
    check_memory();
}

std::string http_server::take_body(SoupServerMessage *message)
{
    auto &request = open_[message];
    request.served = true;
    if (!limits_.answers_at_once)
    {
        acceptor_.clear_deadline(request.connection);
    }
    return request.body.take();
}

void http_server::end(SoupServerMessage *message)
{
    auto const found = open_.find(message);
    if (found != open_.end())
    {
        auto *connection = found->second.connection;
        held_bytes_ -= found->second.held_bytes;
        open_.erase(found);
        acceptor_.end_request(connection);
        acceptor_.set_deadline(connection, keep_alive_timeout);
    }
}

void http_server::check_memory()
{
    if (held_bytes_ <= limits_.body_bytes)
    {
        return;
    }
    auto &largest =
        std::ranges::max_element(
            open_, std::less<>(),
            [](auto const &item)
            { return item.second.served ? 0 : item.second.held_bytes; })
            ->second;
    if (!largest.served)
    {
        largest.body.clear();
        held_bytes_ -= std::exchange(largest.held_bytes, 0);
        acceptor_.shut_down(largest.connection, "body_memory");
    }
}

/// Shuts down the connection with the oldest request whose body is not
/// complete, or whose answer is not read.
///
/// @return false when there is none
bool http_server::close_stalled()
{
    auto const latest =
        daemon_loop::clock_now() - limits_.connections.stalled_time;
    open_request const *chosen = nullptr;
    for (auto const &[message, request] : open_)
    {
        if ((!request.served || limits_.answers_at_once) &&
            request.begun_at <= latest &&
            !acceptor_.is_closing(request.connection) &&
            (chosen == nullptr || request.begun_at < chosen->begun_at))
        {
            chosen = &request;
        }
    }
    if (chosen == nullptr)
    {
        return false;
    }
    acceptor_.shut_down(chosen->connection,
                        chosen->served ? "answer_unread" : "body_stalled");
    return true;
}

void http_server::add(char const *path, handler serve)
{
    soup_server_add_handler(server_.get(), path, callbacks::serve,
                            new path_handler{*this, std::move(serve)},
                            callbacks::destroy);
}

absl::Status http_server::listen(std::string const &address)
{
    host_ = address.substr(0, address.rfind(':'));
    return acceptor_.start(address, {});
}

std::string http_server::address() const
{
    return host_ + ":" + std::to_string(acceptor_.port());
}

} // namespace agateledge
