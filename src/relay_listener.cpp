#include "relay_listener.hpp"

#include "completion_writer.hpp"
#include "daemon_loop.hpp"
#include "relay_codec.hpp"
#include "soup_headers.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr char const *json_type = "application/json";

/// Time in which a caller must have read some of the bytes that wait for it.
constexpr duration reader_timeout = seconds(30);

/// A body beyond the limit is read and dropped up to this multiple of the
/// limit, so that the caller reads the error; then the connection is cut.
constexpr std::int64_t dropped_body_factor = 4;

std::string target_of(SoupServerMessage *message)
{
    auto *uri = soup_server_message_get_uri(message);
    std::string target = g_uri_get_path(uri);
    if (auto const *query = g_uri_get_query(uri))
    {
        target += '?';
        target += query;
    }
    return target;
}

shared_text body_of(SoupServerMessage *message)
{
    GBytes *bytes = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size = 0;
    auto const *data = g_bytes_get_data(bytes, &size);
    auto text = std::make_shared<std::string const>(
        static_cast<char const *>(data), size);
    g_bytes_unref(bytes);
    return text;
}

std::int64_t bytes_of(header_list const &headers)
{
    std::int64_t total = 0;
    for (auto const &[name, value] : headers)
    {
        total += static_cast<std::int64_t>(name.size() + value.size());
    }
    return total;
}

void close_after_answer(SoupServerMessage *message)
{
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
}

} // namespace

/// One exchange with a caller.
struct relay_listener::exchange
{
    gobject_ptr<SoupServerMessage> message;
    /// 0 before the request is given to the systems.
    request_number request;
    std::int64_t body_bytes = 0;
    std::int64_t buffered_bytes = 0;
    instant headers_at{};
    bool answered = false;
    bool paused = false;
    bool streaming = false;
    bool held = false;

    connection_gate::connection_key connection() const
    {
        return soup_server_message_get_remote_address(message.get());
    }

    void unpause()
    {
        if (std::exchange(paused, false))
        {
            soup_server_message_unpause(message.get());
        }
    }
};

struct relay_listener::callbacks
{
    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        static_cast<relay_listener *>(self)->begin(message);
    }

    static void got_headers(SoupServerMessage *message, gpointer self)
    {
        auto *listener = static_cast<relay_listener *>(self);
        if (auto *item = listener->find(message))
        {
            listener->check_headers(*item);
        }
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        auto *listener = static_cast<relay_listener *>(self);
        if (auto *item = listener->find(message))
        {
            listener->count_body(
                *item, static_cast<std::int64_t>(g_bytes_get_size(chunk)));
        }
    }

    static void wrote(SoupServerMessage *message, guint bytes, gpointer self)
    {
        auto *listener = static_cast<relay_listener *>(self);
        if (auto *item = listener->find(message))
        {
            listener->wrote(*item, bytes);
        }
    }

    static void finished(SoupServerMessage *message, gpointer self)
    {
        static_cast<relay_listener *>(self)->end(message);
    }

    static void handle(SoupServer *, SoupServerMessage *message, char const *,
                       GHashTable *, gpointer self)
    {
        auto *listener = static_cast<relay_listener *>(self);
        if (auto *item = listener->find(message))
        {
            listener->take(*item);
        }
    }
};

relay_listener::relay_listener(world const &state, daemon_loop &loop,
                               relay_codec const &codec, listener_limits limits)
    : state_(state), loop_(loop), codec_(codec), limits_(limits),
      server_(soup_server_new("raw-paths", TRUE, nullptr)),
      gate_(server_.get(), limits)
{
    g_signal_connect(server_.get(), "request-started",
                     G_CALLBACK(callbacks::started), this);
    soup_server_add_handler(server_.get(), nullptr, callbacks::handle, this,
                            nullptr);
    gate_.on_peer_closed = [this](connection_gate::connection_key key)
    { peer_closed(key); };
}

relay_listener::~relay_listener()
{
    for (auto const &[message, item] : exchanges_)
    {
        g_signal_handlers_disconnect_by_data(message, this);
    }
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    soup_server_disconnect(server_.get());
}

absl::Status relay_listener::start(std::string const &address)
{
    return gate_.start(address, {});
}

relay_listener::exchange *relay_listener::find(SoupServerMessage *message)
{
    auto const found = exchanges_.find(message);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void relay_listener::begin(SoupServerMessage *message)
{
    auto item = std::make_unique<exchange>();
    item->message = gobject_share(message);
    by_connection_.insert_or_assign(item->connection(), message);
    exchanges_.emplace(message, std::move(item));
    g_signal_connect(message, "got-headers", G_CALLBACK(callbacks::got_headers),
                     this);
    g_signal_connect(message, "got-chunk", G_CALLBACK(callbacks::got_chunk),
                     this);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(callbacks::wrote),
                     this);
    g_signal_connect(message, "finished", G_CALLBACK(callbacks::finished),
                     this);
    // A message whose connection closes before its request has begun does not
    // finish.
    g_signal_connect(message, "disconnected", G_CALLBACK(callbacks::finished),
                     this);
}

void relay_listener::check_headers(exchange &item)
{
    auto *message = item.message.get();
    auto const &bounds = state_.relay.routing->bounds;
    gate_.expect_within(item.connection(), limits_.request_timeout);
    item.headers_at = daemon_loop::clock_now();
    auto *headers = soup_server_message_get_request_headers(message);
    if (bytes_of(headers_from(headers)) > bounds.max_header_bytes)
    {
        refuse(item, result_code::headers_too_large,
               "the headers are too large");
    }
    else if (soup_message_headers_get_content_length(headers) >
             bounds.max_body_bytes)
    {
        refuse(item, result_code::body_too_large, "the body is too large");
    }
    if (item.answered)
    {
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        close_after_answer(message);
    }
}

void relay_listener::count_body(exchange &item, std::int64_t bytes)
{
    auto *message = item.message.get();
    auto const most = state_.relay.routing->bounds.max_body_bytes;
    item.body_bytes += bytes;
    if (item.body_bytes > most && !item.answered)
    {
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        refuse(item, result_code::body_too_large, "the body is too large");
        close_after_answer(message);
    }
    if (item.body_bytes > most * dropped_body_factor)
    {
        gate_.cut(item.connection());
    }
}

void relay_listener::take(exchange &item)
{
    if (item.answered)
    {
        return;
    }
    auto *message = item.message.get();
    gate_.expect_nothing(item.connection());
    if (gate_.peer_closed(item.connection()))
    {
        refuse(item, result_code::invalid_request,
               "the caller has closed its side");
        close_after_answer(message);
        return;
    }
    received_request received;
    received.method = soup_server_message_get_method(message);
    received.target = target_of(message);
    received.headers =
        headers_from(soup_server_message_get_request_headers(message));
    received.body = body_of(message);
    auto request = codec_.decode_request(received);
    if (!request.ok())
    {
        auto const text = request.status().message();
        refuse(item, code_of(request.status()), {text.data(), text.size()});
        return;
    }
    item.request = request_number(++last_request_);
    by_request_.emplace(item.request, &item);
    item.paused = true;
    soup_server_message_pause(message);
    relay_arrival arrival;
    arrival.request = item.request;
    arrival.content =
        std::make_shared<relay_request const>(*std::move(request));
    arrival.arrived_at = item.headers_at;
    loop_.input().relay_arrivals.push_back(std::move(arrival));
}

void relay_listener::refuse(exchange &item, result_code code,
                            std::string const &message)
{
    relay_answer answer;
    answer.kind = relay_answer_kind::refused;
    answer.status = http_status(code);
    answer.code = code;
    answer.message = message;
    refuse(item, answer);
}

void relay_listener::refuse(exchange &item, relay_answer const &answer)
{
    auto headers = codec_.own_answer_headers(answer);
    headers.emplace_back("Content-Type", json_type);
    send_whole(item, answer, headers,
               error_document(answer.code, answer.message));
}

void relay_listener::send_whole(exchange &item, relay_answer const &answer,
                                header_list const &headers,
                                std::string const &body)
{
    if (item.answered)
    {
        return;
    }
    item.answered = true;
    auto *message = item.message.get();
    soup_server_message_set_status(message, static_cast<guint>(answer.status),
                                   nullptr);
    if (!body.empty())
    {
        soup_message_body_append(soup_server_message_get_response_body(message),
                                 SOUP_MEMORY_COPY, body.data(), body.size());
    }
    append_headers(soup_server_message_get_response_headers(message), headers);
    if (answer.close_connection)
    {
        close_after_answer(message);
    }
    gate_.expect_within(item.connection(), reader_timeout);
    item.unpause();
}

void relay_listener::begin_stream(exchange &item, relay_answer const &answer)
{
    auto *message = item.message.get();
    item.streaming = true;
    soup_server_message_set_status(message, static_cast<guint>(answer.status),
                                   nullptr);
    auto *headers = soup_server_message_get_response_headers(message);
    append_headers(headers, answer.headers);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message), FALSE);
    if (answer.close_connection)
    {
        close_after_answer(message);
    }
}

void relay_listener::write_part(exchange &item, std::string const &bytes)
{
    item.buffered_bytes += static_cast<std::int64_t>(bytes.size());
    soup_message_body_append(
        soup_server_message_get_response_body(item.message.get()),
        SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(item.message.get());
    item.paused = false;
    update_hold(item);
}

void relay_listener::answer(relay_answer const &answer)
{
    auto const found = by_request_.find(answer.request);
    if (found == by_request_.end())
    {
        return;
    }
    auto &item = *found->second;
    switch (answer.kind)
    {
    case relay_answer_kind::begin:
        begin_stream(item, answer);
        return;
    case relay_answer_kind::part:
        write_part(item, answer.bytes);
        return;
    case relay_answer_kind::whole:
        by_request_.erase(found);
        send_whole(item, answer, answer.headers, answer.bytes);
        return;
    case relay_answer_kind::end:
        by_request_.erase(found);
        item.answered = true;
        soup_message_body_complete(
            soup_server_message_get_response_body(item.message.get()));
        soup_server_message_unpause(item.message.get());
        return;
    case relay_answer_kind::cut:
        by_request_.erase(found);
        cut(item);
        return;
    case relay_answer_kind::refused:
        by_request_.erase(found);
        refuse(item, answer);
        return;
    }
}

void relay_listener::wrote(exchange &item, std::int64_t bytes)
{
    item.buffered_bytes -= bytes;
    update_hold(item);
}

void relay_listener::update_hold(exchange &item)
{
    if (!item.streaming)
    {
        return;
    }
    if (item.buffered_bytes <= 0)
    {
        gate_.expect_nothing(item.connection());
    }
    else
    {
        gate_.expect_within(item.connection(), reader_timeout);
    }
    bool const hold = item.buffered_bytes > limits_.max_buffered_bytes ||
                      (item.held && item.buffered_bytes > 0);
    if (std::exchange(item.held, hold) != hold && on_hold)
    {
        on_hold(item.request, hold);
    }
}

void relay_listener::cut(exchange &item)
{
    item.answered = true;
    gate_.cut(item.connection());
    soup_server_message_unpause(item.message.get());
}

void relay_listener::peer_closed(connection_gate::connection_key key)
{
    auto const found = by_connection_.find(key);
    auto *item = found == by_connection_.end() ? nullptr : find(found->second);
    if (item == nullptr || item->answered || item->request.value() == 0)
    {
        return;
    }
    depart(*item);
    cut(*item);
}

void relay_listener::depart(exchange &item)
{
    if (by_request_.erase(item.request) != 0)
    {
        loop_.input().relay_departures.push_back({item.request});
    }
}

void relay_listener::end(SoupServerMessage *message)
{
    auto const found = exchanges_.find(message);
    if (found == exchanges_.end())
    {
        return;
    }
    auto &item = *found->second;
    depart(item);
    auto *key = item.connection();
    gate_.expect_within(key, state_.relay.routing->bounds.idle_timeout);
    auto const connection = by_connection_.find(key);
    if (connection != by_connection_.end() && connection->second == message)
    {
        by_connection_.erase(connection);
    }
    g_signal_handlers_disconnect_by_data(message, this);
    exchanges_.erase(found);
}

} // namespace agateledge
