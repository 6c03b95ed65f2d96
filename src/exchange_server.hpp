#ifndef AGATELEDGE_EXCHANGE_SERVER_HPP
#define AGATELEDGE_EXCHANGE_SERVER_HPP

#include "choose_messages_to_drop.hpp"
#include "connection_acceptor.hpp"
#include "gobject_ptr.hpp"
#include "server_message.hpp"
#include "settings.hpp"
#include "time.hpp"

#include <libsoup/soup.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace agateledge
{

/// Time within which a caller must read some of the bytes buffered for it.
constexpr duration reader_timeout = seconds(30);

/// HTTP server of one listener. Keeps an `Exchange` for each request, from its
/// start to the end of its answer, and calls the listener's handlers as it
/// progresses.
///
/// @tparam Exchange made from a `SoupServerMessage *`; has `message()`,
///         `answered()` and the counter `body_bytes`
template <class Exchange>
class exchange_server
{
public:
    /// Handlers of the listener; all must be set before it starts.
    struct hooks
    {
        std::function<void(Exchange &)> on_headers;
        /// Bytes of the request body were received.
        std::function<void(Exchange &, std::int64_t)> on_body;
        /// The request was received completely; called with its path, still
        /// escaped.
        std::function<void(Exchange &, char const *)> on_request;
        /// Bodies of requests take too much memory, and this one was chosen
        /// to be refused; what is received of it is discarded.
        std::function<void(Exchange &)> on_memory_exhausted;
        /// Bytes of the answer were written to the connection.
        std::function<void(Exchange &, std::int64_t)> on_written;
        /// The caller closed its side of the connection.
        std::function<void(Exchange &)> on_peer_closed;
        /// The exchange has ended; it is destroyed after this call.
        std::function<void(Exchange &)> on_end;
    };

    /// @param server_header value of the header "Server"; null to send no such
    ///        header
    /// @param limits limits on connections
    exchange_server(char const *server_header, listener_limits limits)
        : server_(soup_server_new("server-header", server_header, "raw-paths",
                                  TRUE, nullptr)),
          acceptor_(server_.get(), limits),
          max_received_bytes_(limits.memory.request_bytes())
    {
        g_signal_connect(server_.get(), "request-started", G_CALLBACK(started),
                         this);
        soup_server_add_handler(server_.get(), nullptr, handle, this, nullptr);
        acceptor_.on_peer_closed =
            [this](connection_acceptor::connection_key key)
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

    connection_acceptor &acceptor() { return acceptor_; }

    static connection_acceptor::connection_key
    connection_of(Exchange const &exchange)
    {
        return soup_server_message_get_remote_address(exchange.message());
    }

    /// Counts bytes of a request body and enforces its limit. A body over the
    /// limit is read and discarded up to a multiple of it, so that the caller
    /// can read the error; beyond that the connection is shut down.
    ///
    /// @param bytes bytes received since the last call
    /// @param max_bytes limit of the body
    /// @param refuse called once, to answer with the error
    void count_body(Exchange &exchange, std::int64_t bytes,
                    std::int64_t max_bytes, std::function<void()> const &refuse)
    {
        constexpr std::int64_t discarded_body_factor = 4;
        exchange.body_bytes += bytes;
        uncounted_bytes_ += static_cast<std::size_t>(bytes);
        if (counted_bytes_ + uncounted_bytes_ > max_received_bytes_)
        {
            refuse_over_memory();
        }
        if (exchange.body_bytes > max_bytes && !exchange.answered())
        {
            discard_request_body(exchange.message());
            refuse();
            close_after_answer(exchange.message());
        }
        if (exchange.body_bytes > max_bytes * discarded_body_factor)
        {
            acceptor_.shut_down(connection_of(exchange));
        }
    }

private:
    static exchange_server &server_of(gpointer self)
    {
        return *static_cast<exchange_server *>(self);
    }

    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        server_of(self).begin(message);
    }

    static void got_headers(SoupServerMessage *message, gpointer self)
    {
        if (auto *exchange = server_of(self).find(message))
        {
            server_of(self).handlers.on_headers(*exchange);
        }
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        if (auto *exchange = server_of(self).find(message))
        {
            server_of(self).handlers.on_body(
                *exchange, static_cast<std::int64_t>(g_bytes_get_size(chunk)));
        }
    }

    static void wrote(SoupServerMessage *message, guint bytes, gpointer self)
    {
        if (auto *exchange = server_of(self).find(message))
        {
            server_of(self).handlers.on_written(*exchange, bytes);
        }
    }

    static void finished(SoupServerMessage *message, gpointer self)
    {
        server_of(self).end(message);
    }

    static void handle(SoupServer *, SoupServerMessage *message,
                       char const *path, GHashTable *, gpointer self)
    {
        auto &server = server_of(self);
        if (auto *exchange = server.find(message))
        {
            server.receiving_.erase(message);
            server.handlers.on_request(*exchange, path);
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
        receiving_.insert(message);
        by_connection_.insert_or_assign(
            soup_server_message_get_remote_address(message), message);
        g_signal_connect(message, "got-headers", G_CALLBACK(got_headers), this);
        g_signal_connect(message, "got-chunk", G_CALLBACK(got_chunk), this);
        g_signal_connect(message, "wrote-body-data", G_CALLBACK(wrote), this);
        g_signal_connect(message, "finished", G_CALLBACK(finished), this);
        // libsoup does not emit "finished" for a message whose connection
        // closes before its request has begun.
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
        receiving_.erase(message);
        exchanges_.erase(found);
    }

    void peer_closed(connection_acceptor::connection_key key)
    {
        auto const found = by_connection_.find(key);
        auto *exchange =
            found == by_connection_.end() ? nullptr : find(found->second);
        if (exchange != nullptr)
        {
            handlers.on_peer_closed(*exchange);
        }
    }

    /// Counts the bodies that are being received, and refuses requests while
    /// they take more memory than allowed.
    void refuse_over_memory()
    {
        std::vector<Exchange *> exchanges;
        std::vector<held_message> messages;
        counted_bytes_ = 0;
        uncounted_bytes_ = 0;
        for (auto *message : receiving_)
        {
            auto *exchange = find(message);
            if (exchange->answered())
            {
                continue;
            }
            auto const bytes = static_cast<std::size_t>(exchange->body_bytes);
            counted_bytes_ += bytes;
            exchanges.push_back(exchange);
            messages.push_back(
                {remote_host(message), bytes, has_declared_length(message)});
        }
        std::ranges::for_each(
            choose_messages_to_drop(messages, max_received_bytes_),
            [&](std::size_t index)
            {
                auto &exchange = *exchanges.at(index);
                discard_request_body(exchange.message());
                handlers.on_memory_exhausted(exchange);
                close_after_answer(exchange.message());
            });
    }

    gobject_ptr<SoupServer> server_;
    connection_acceptor acceptor_;
    std::size_t max_received_bytes_;
    /// Bytes of the bodies that were being received at the last count, and
    /// bytes received since then.
    std::size_t counted_bytes_ = 0;
    std::size_t uncounted_bytes_ = 0;
    std::unordered_set<SoupServerMessage *> receiving_;
    std::unordered_map<SoupServerMessage *, std::unique_ptr<Exchange>>
        exchanges_;
    std::unordered_map<connection_acceptor::connection_key, SoupServerMessage *>
        by_connection_;
};

} // namespace agateledge

#endif
