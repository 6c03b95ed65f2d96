#ifndef AGATELEDGE_EXCHANGE_SERVER_HPP
#define AGATELEDGE_EXCHANGE_SERVER_HPP

#include "connection_gate.hpp"
#include "gobject_ptr.hpp"
#include "server_message.hpp"
#include "settings.hpp"
#include "time.hpp"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace agateledge
{

/// Time in which a caller must have read some of the bytes that wait for it.
constexpr duration reader_timeout = seconds(30);

/// HTTP server of one listener. It keeps an `Exchange` for each request, from
/// its begin to the end of its answer, and tells the listener of its progress.
///
/// @tparam Exchange made from a `SoupServerMessage *`; has `message()`,
///         `answered()` and the counter `body_bytes`
template <class Exchange>
class exchange_server
{
public:
    /// What the listener does with an exchange; all must be set before the
    /// start.
    struct hooks
    {
        std::function<void(Exchange &)> on_headers;
        /// Bytes of the body arrived.
        std::function<void(Exchange &, std::int64_t)> on_body;
        /// The whole request arrived; with its path, as sent.
        std::function<void(Exchange &, char const *)> on_request;
        /// Bytes of the answer were given to the connection.
        std::function<void(Exchange &, std::int64_t)> on_written;
        /// The caller closed its side.
        std::function<void(Exchange &)> on_peer_closed;
        /// The exchange is over; it is gone after this.
        std::function<void(Exchange &)> on_end;
    };

    /// @param server_header value of the header "Server"; null for none
    /// @param limits bounds on connections
    exchange_server(char const *server_header, listener_limits limits)
        : server_(soup_server_new("server-header", server_header, "raw-paths",
                                  TRUE, nullptr)),
          gate_(server_.get(), limits)
    {
        g_signal_connect(server_.get(), "request-started", G_CALLBACK(started),
                         this);
        soup_server_add_handler(server_.get(), nullptr, handle, this, nullptr);
        gate_.on_peer_closed = [this](connection_gate::connection_key key)
        { peer_closed(key); };
    }

    ~exchange_server()
    {
        for (auto const &[message, exchange] : exchanges_)
        {
            g_signal_handlers_disconnect_by_data(message, this);
        }
        g_signal_handlers_disconnect_by_data(server_.get(), this);
        soup_server_disconnect(server_.get());
    }
    exchange_server(exchange_server const &) = delete;
    exchange_server &operator=(exchange_server const &) = delete;

    hooks handlers;

    connection_gate &gate() { return gate_; }

    static connection_gate::connection_key
    connection_of(Exchange const &exchange)
    {
        return soup_server_message_get_remote_address(exchange.message());
    }

    /// Counts bytes of a request's body and bounds it. A body beyond the bound
    /// is read and dropped up to a multiple of it, so that the caller reads the
    /// error; then the connection is cut.
    ///
    /// @param most longest body
    /// @param refuse answers with the error
    void count_body(Exchange &exchange, std::int64_t bytes, std::int64_t most,
                    std::function<void()> const &refuse)
    {
        constexpr std::int64_t dropped_body_factor = 4;
        exchange.body_bytes += bytes;
        if (exchange.body_bytes > most && !exchange.answered())
        {
            drop_request_body(exchange.message());
            refuse();
            close_after_answer(exchange.message());
        }
        if (exchange.body_bytes > most * dropped_body_factor)
        {
            gate_.cut(connection_of(exchange));
        }
    }

private:
    static exchange_server &self_of(gpointer self)
    {
        return *static_cast<exchange_server *>(self);
    }

    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        self_of(self).begin(message);
    }

    static void got_headers(SoupServerMessage *message, gpointer self)
    {
        if (auto *exchange = self_of(self).find(message))
        {
            self_of(self).handlers.on_headers(*exchange);
        }
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        if (auto *exchange = self_of(self).find(message))
        {
            self_of(self).handlers.on_body(
                *exchange, static_cast<std::int64_t>(g_bytes_get_size(chunk)));
        }
    }

    static void wrote(SoupServerMessage *message, guint bytes, gpointer self)
    {
        if (auto *exchange = self_of(self).find(message))
        {
            self_of(self).handlers.on_written(*exchange, bytes);
        }
    }

    static void finished(SoupServerMessage *message, gpointer self)
    {
        self_of(self).end(message);
    }

    static void handle(SoupServer *, SoupServerMessage *message,
                       char const *path, GHashTable *, gpointer self)
    {
        if (auto *exchange = self_of(self).find(message))
        {
            self_of(self).handlers.on_request(*exchange, path);
        }
    }

    Exchange *find(SoupServerMessage *message)
    {
        auto const found = exchanges_.find(message);
        return found == exchanges_.end() ? nullptr : found->second.get();
    }

    void begin(SoupServerMessage *message)
    {
        exchanges_.emplace(message, std::make_unique<Exchange>(message));
        by_connection_.insert_or_assign(
            soup_server_message_get_remote_address(message), message);
        g_signal_connect(message, "got-headers", G_CALLBACK(got_headers), this);
        g_signal_connect(message, "got-chunk", G_CALLBACK(got_chunk), this);
        g_signal_connect(message, "wrote-body-data", G_CALLBACK(wrote), this);
        g_signal_connect(message, "finished", G_CALLBACK(finished), this);
        // A message whose connection closes before its request has begun does
        // not finish.
        g_signal_connect(message, "disconnected", G_CALLBACK(finished), this);
    }

    void end(SoupServerMessage *message)
    {
        auto const found = exchanges_.find(message);
        if (found == exchanges_.end())
        {
            return;
        }
        handlers.on_end(*found->second);
        auto const connection =
            by_connection_.find(connection_of(*found->second));
        if (connection != by_connection_.end() && connection->second == message)
        {
            by_connection_.erase(connection);
        }
        g_signal_handlers_disconnect_by_data(message, this);
        exchanges_.erase(found);
    }

    void peer_closed(connection_gate::connection_key key)
    {
        auto const found = by_connection_.find(key);
        auto *exchange =
            found == by_connection_.end() ? nullptr : find(found->second);
        if (exchange != nullptr)
        {
            handlers.on_peer_closed(*exchange);
        }
    }

    gobject_ptr<SoupServer> server_;
    connection_gate gate_;
    std::unordered_map<SoupServerMessage *, std::unique_ptr<Exchange>>
        exchanges_;
    std::unordered_map<connection_gate::connection_key, SoupServerMessage *>
        by_connection_;
};

} // namespace agateledge

#endif
