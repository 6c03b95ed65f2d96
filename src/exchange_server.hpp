#ifndef AGATELEDGE_EXCHANGE_SERVER_HPP
#define AGATELEDGE_EXCHANGE_SERVER_HPP

#include "block_text.hpp"
#include "choose_messages_to_drop.hpp"
#include "connection_acceptor.hpp"
#include "daemon_loop.hpp"
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

/// Part of the time after which a body counts as stalled; a body that has
/// received nothing for so long is idle. By default 250 ms, longer than the
/// first retransmission timeout of TCP.
constexpr int idle_share_of_stall = 8;

/// HTTP server of one listener. Keeps an `Exchange` for each request, from its
/// start to the end of its answer, and calls the listener's handlers as it
/// progresses.
///
/// @tparam Exchange made from a `SoupServerMessage *`; has `message()`,
///         `answered()`, `unread_bytes()` of its answer and the counter
///         `body_bytes`
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
          acceptor_(server_.get(), limits), stalled_time_(limits.stalled_time),
          max_receiving_bytes_(limits.memory.request_bytes()),
          max_body_bytes_(2 * limits.memory.request_bytes()),
          max_answer_bytes_(limits.memory.answer_bytes())
    {
        g_signal_connect(server_.get(), "request-started", G_CALLBACK(started),
                         this);
        soup_server_add_handler(server_.get(), nullptr, handle, this, nullptr);
        acceptor_.on_peer_closed =
            [this](connection_acceptor::connection_key key)
        { peer_closed(key); };
        acceptor_.make_room = [this] { return close_stalled(); };
    }

    ~exchange_server()
    {
        for (auto const &[message, item] : exchanges_)
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

    /// @return body of a request that was received completely; it counts as
    /// held
    ///         until the exchange ends, because the daemon keeps it
    std::string take_body(Exchange const &exchange)
    {
        auto const found = exchanges_.find(exchange.message());
        return found == exchanges_.end() ? std::string()
                                         : found->second.body.take();
    }

    /// Counts bytes of an answer that were given to a connection. When all
    /// answers that wait for their readers exceed their limit, connections are
    /// shut down: first those whose clients have stalled, then those with the
    /// most bytes.
    void count_answer(Exchange const &exchange, std::size_t bytes)
    {
        auto const found = exchanges_.find(exchange.message());
        if (found != exchanges_.end() &&
            exchange.unread_bytes() <= static_cast<std::int64_t>(bytes))
        {
            // Nothing waited before, so that the client has not stalled.
            found->second.progress_at = daemon_loop::clock_now();
        }
        uncounted_answer_bytes_ += bytes;
        if (counted_answer_bytes_ + uncounted_answer_bytes_ > max_answer_bytes_)
        {
            bound_answers();
        }
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
    struct held_exchange
    {
        std::unique_ptr<Exchange> exchange;
        block_text body;
        /// Memory of the body; it stays after the body was taken.
        std::size_t held_bytes = 0;
        /// Last time at which bytes of the request arrived, or bytes of the
        /// answer were written.
        instant progress_at{};
        /// Time at which `close_stalled` first found that the client had not
        /// read the answer.
        instant unread_since = instant::max();
    };

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
        auto &server = server_of(self);
        if (auto *exchange = server.find(message))
        {
            server.acceptor_.begin_request(connection_of(*exchange));
            server.exchanges_.at(message).progress_at =
                daemon_loop::clock_now();
            server.handlers.on_headers(*exchange);
        }
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        server_of(self).receive(message, chunk);
    }

    static void wrote(SoupServerMessage *message, guint bytes, gpointer self)
    {
        auto &server = server_of(self);
        if (auto *exchange = server.find(message))
        {
            auto &item = server.exchanges_.at(message);
            item.progress_at = daemon_loop::clock_now();
            item.unread_since = instant::max();
            server.handlers.on_written(*exchange, bytes);
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
            server.finish_receiving(message);
            server.handlers.on_request(*exchange, path);
        }
    }

    Exchange *find(SoupServerMessage *message)
    {
        auto const found = exchanges_.find(message);
        return found == exchanges_.end() ? nullptr
                                         : found->second.exchange.get();
    }

    void begin(SoupServerMessage *message)
    {
        exchanges_[message].exchange = std::make_unique<Exchange>(message);
        receiving_.insert(message);
        // libsoup would keep each piece that was received separately.
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
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
        handlers.on_end(*found->second.exchange);
        acceptor_.end_request(connection_of(*found->second.exchange));
        auto const connection =
            by_connection_.find(connection_of(*found->second.exchange));
        if (connection != by_connection_.end() && connection->second == message)
        {
            by_connection_.erase(connection);
        }
        g_signal_handlers_disconnect_by_data(message, this);
        if (receiving_.erase(message) != 0)
        {
            receiving_bytes_ -= found->second.held_bytes;
        }
        body_bytes_ -= found->second.held_bytes;
        exchanges_.erase(found);
    }

    void receive(SoupServerMessage *message, GBytes *chunk)
    {
        auto const found = exchanges_.find(message);
        if (found == exchanges_.end())
        {
            return;
        }
        auto &item = found->second;
        gsize size = 0;
        auto const *bytes =
            static_cast<char const *>(g_bytes_get_data(chunk, &size));
        handlers.on_body(*item.exchange, static_cast<std::int64_t>(size));
        item.progress_at = daemon_loop::clock_now();
        item.unread_since = instant::max();
        if (item.exchange->answered())
        {
            item.body.clear();
        }
        else
        {
            item.body.append({bytes, size});
        }
        set_held_bytes(item, item.body.capacity());
        if (receiving_bytes_ > max_receiving_bytes_ ||
            body_bytes_ > max_body_bytes_)
        {
            refuse_over_memory();
        }
    }

    /// Sets the memory of a body that is being received.
    void set_held_bytes(held_exchange &item, std::size_t bytes)
    {
        receiving_bytes_ += bytes - item.held_bytes;
        body_bytes_ += bytes - item.held_bytes;
        item.held_bytes = bytes;
    }

    void finish_receiving(SoupServerMessage *message)
    {
        if (receiving_.erase(message) != 0)
        {
            receiving_bytes_ -= exchanges_.at(message).held_bytes;
        }
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

    /// Refuses requests whose bodies are being received until the bodies fit
    /// into their limits.
    void refuse_over_memory()
    {
        auto const now = daemon_loop::clock_now();
        auto const stalled_since = now - stalled_time_;
        auto const idle_since = now - stalled_time_ / idle_share_of_stall;
        std::vector<held_exchange *> items;
        std::vector<held_message> messages;
        for (auto *message : receiving_)
        {
            auto &item = exchanges_.at(message);
            if (item.held_bytes != 0)
            {
                items.push_back(&item);
                messages.push_back({remote_host(message), item.held_bytes,
                                    has_declared_length(message),
                                    item.progress_at < stalled_since,
                                    item.progress_at < idle_since});
            }
        }
        std::ranges::for_each(
            choose_messages_to_drop(messages, receiving_limit()),
            [&](std::size_t index)
            {
                auto &item = *items.at(index);
                item.body.clear();
                set_held_bytes(item, 0);
                report_limit(item, "body_memory");
                handlers.on_memory_exhausted(*item.exchange);
                close_after_answer(item.exchange->message());
            });
    }

    void bound_answers()
    {
        auto const stalled_since = daemon_loop::clock_now() - stalled_time_;
        std::vector<held_exchange *> items;
        std::vector<held_message> messages;
        counted_answer_bytes_ = 0;
        uncounted_answer_bytes_ = 0;
        for (auto &[message, item] : exchanges_)
        {
            auto const bytes = item.exchange->unread_bytes();
            if (bytes > 0 &&
                !acceptor_.is_closing(connection_of(*item.exchange)))
            {
                counted_answer_bytes_ += static_cast<std::size_t>(bytes);
                items.push_back(&item);
                messages.push_back({remote_host(message),
                                    static_cast<std::size_t>(bytes), true,
                                    item.progress_at < stalled_since});
            }
        }
        std::ranges::for_each(
            choose_messages_to_drop(messages, max_answer_bytes_),
            [&](std::size_t index)
            {
                counted_answer_bytes_ -= messages.at(index).bytes;
                acceptor_.shut_down(connection_of(*items.at(index)->exchange),
                                    "answer_memory");
            });
    }

    /// Shuts down the connection whose client has stalled for the longest time,
    /// in the middle of a body or of an answer that is ready.
    ///
    /// @return false when there is none
    bool close_stalled()
    {
        auto const now = daemon_loop::clock_now();
        held_exchange *chosen = nullptr;
        for (auto &[message, item] : exchanges_)
        {
            if (is_stalled(item, now) &&
                (chosen == nullptr || item.progress_at < chosen->progress_at))
            {
                chosen = &item;
            }
        }
        if (chosen == nullptr)
        {
            return false;
        }
        acceptor_.shut_down(connection_of(*chosen->exchange),
                            has_answer(*chosen->exchange) ? "answer_unread"
                                                          : "body_stalled");
        return true;
    }

    static bool has_answer(Exchange const &exchange)
    {
        return exchange.answered() || exchange.unread_bytes() > 0;
    }

    bool is_stalled(held_exchange &item, instant now) const
    {
        auto const &exchange = *item.exchange;
        if (acceptor_.is_closing(connection_of(exchange)))
        {
            return false;
        }
        if (has_answer(exchange))
        {
            item.unread_since = std::min(item.unread_since, now);
            return now - item.unread_since >= stalled_time_;
        }
        return item.progress_at != instant{} &&
               receiving_.contains(exchange.message()) &&
               now - item.progress_at >= stalled_time_;
    }

    void report_limit(held_exchange const &item, char const *reason)
    {
        if (acceptor_.on_limited)
        {
            acceptor_.on_limited(remote_host(item.exchange->message()), reason);
        }
    }

    /// @return limit of the bodies that are being received, beside the complete
    ///         ones; some room is left below it, because each choice looks at
    ///         all bodies
    std::size_t receiving_limit() const
    {
        auto const complete = body_bytes_ - receiving_bytes_;
        auto const left = max_body_bytes_ - std::min(max_body_bytes_, complete);
        return std::min(left, max_receiving_bytes_) / 8 * 7;
    }

    gobject_ptr<SoupServer> server_;
    connection_acceptor acceptor_;
    duration stalled_time_;
    std::size_t max_receiving_bytes_;
    std::size_t max_body_bytes_;
    /// Memory of the bodies that are being received, and of all bodies.
    std::size_t receiving_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::size_t max_answer_bytes_;
    /// Bytes of answers that waited at the last count, and bytes given to
    /// connections since then.
    std::size_t counted_answer_bytes_ = 0;
    std::size_t uncounted_answer_bytes_ = 0;
    std::unordered_set<SoupServerMessage *> receiving_;
    std::unordered_map<SoupServerMessage *, held_exchange> exchanges_;
    std::unordered_map<connection_acceptor::connection_key, SoupServerMessage *>
        by_connection_;
};

} // namespace agateledge

#endif
