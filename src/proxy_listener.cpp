#include "proxy_listener.hpp"

#include "completion_writer.hpp"
#include "daemon_loop.hpp"
#include "exchange_server.hpp"
#include "proxy_codec.hpp"
#include "soup_headers.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr char const *json_type = "application/json";

/// Maximum Retry-After time of requests that a saturated daemon does not admit;
/// the retry reaches another daemon.
constexpr duration overload_retry_after = milliseconds(200);

} // namespace

/// One HTTP exchange with a caller, from the headers of the request to the end
/// of the answer.
class proxy_listener::exchange
{
public:
    explicit exchange(SoupServerMessage *message)
        : message_(gobject_share(message))
    {
    }

    SoupServerMessage *message() const { return message_.get(); }

    /// @return true once the complete answer was given to the connection
    bool answered() const { return answer_complete; }

    /// @return bytes of the answer that are not yet written to the connection
    std::int64_t unread_bytes() const { return buffered_bytes; }

    /// 0 until the request is submitted to the daemon.
    request_number request;
    std::int64_t body_bytes = 0;
    std::int64_t buffered_bytes = 0;
    instant received_at{};
    bool answer_complete = false;
    bool paused = false;
    bool streaming = false;
    bool stalled = false;

    void unpause()
    {
        if (std::exchange(paused, false))
        {
            soup_server_message_unpause(message());
        }
    }

private:
    gobject_ptr<SoupServerMessage> message_;
};

proxy_listener::proxy_listener(world const &state, daemon_loop &loop,
                               proxy_codec const &codec, listener_limits limits)
    : state_(state), loop_(loop), codec_(codec), limits_(limits),
      server_(std::make_unique<exchange_server<exchange>>(nullptr, limits)),
      random_(state.identity.incarnation.value())
{
    auto &handlers = server_->handlers;
    handlers.on_headers = [this](exchange &item) { check_headers(item); };
    handlers.on_body = [this](exchange &item, std::int64_t bytes)
    { count_body(item, bytes); };
    handlers.on_request = [this](exchange &item, char const *path)
    { accept_request(item, path); };
    handlers.on_memory_exhausted = [this](exchange &item)
    { refuse_overload(item, "the memory for requests is used up"); };
    handlers.on_written = [this](exchange &item, std::int64_t bytes)
    { record_written(item, bytes); };
    handlers.on_peer_closed = [this](exchange &item)
    { handle_peer_closed(item); };
    handlers.on_end = [this](exchange &item) { handle_end(item); };
}

proxy_listener::~proxy_listener() = default;

absl::Status proxy_listener::start(std::string const &address)
{
    return acceptor().start(address, {});
}

bool proxy_listener::can_accept() const
{
    return server_->acceptor().can_accept();
}

connection_acceptor &proxy_listener::acceptor()
{
    return server_->acceptor();
}

void proxy_listener::check_headers(exchange &item)
{
    auto *message = item.message();
    auto const &bounds = state_.proxy.routing->limits;
    acceptor().set_deadline(server_->connection_of(item),
                            limits_.request_timeout);
    item.received_at = loop_.input_since();
    auto *headers = soup_server_message_get_request_headers(message);
    if (request_header_bytes(message) > bounds.max_header_bytes)
    {
        refuse(item, result_code::headers_too_large,
               "the headers are too large");
    }
    else if (soup_message_headers_get_content_length(headers) >
             bounds.max_body_bytes)
    {
        refuse(item, result_code::body_too_large, "the body is too large");
    }
    if (item.answered())
    {
        discard_request_body(message);
        close_after_answer(message);
        return;
    }
    if (admits_request && !admits_request())
    {
        discard_request_body(message);
        refuse_overload(item, "the processor of the daemon is saturated");
    }
}

void proxy_listener::refuse_overload(exchange &item, std::string const &reason)
{
    proxy_answer answer;
    answer.kind = proxy_answer_kind::refused;
    answer.status = http_status(result_code::queue_full);
    answer.code = result_code::queue_full;
    answer.message = reason;
    answer.retry_after = from_seconds(to_seconds(overload_retry_after) *
                                      (0.5 + 0.5 * random_.uniform()));
    answer.close_connection = state_.proxy.stopping_since.has_value();
    refuse(item, answer);
}

void proxy_listener::count_body(exchange &item, std::int64_t bytes)
{
    server_->count_body(
        item, bytes, state_.proxy.routing->limits.max_body_bytes,
        [this, &item] {
            refuse(item, result_code::body_too_large, "the body is too large");
        });
}

void proxy_listener::accept_request(exchange &item, std::string const &path)
{
    if (item.answered())
    {
        return;
    }
    auto *message = item.message();
    acceptor().clear_deadline(server_->connection_of(item));
    if (acceptor().peer_closed(server_->connection_of(item)))
    {
        refuse(item, result_code::invalid_request,
               "the client closed its side of the connection before "
               "the answer");
        close_after_answer(message);
        return;
    }
    received_request received;
    received.method = soup_server_message_get_method(message);
    received.target = path + request_query(message);
    received.headers =
        headers_from(soup_server_message_get_request_headers(message));
    received.body =
        std::make_shared<std::string const>(server_->take_body(item));
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
    proxy_arrival arrival;
    arrival.request = item.request;
    arrival.content =
        std::make_shared<proxy_request const>(*std::move(request));
    arrival.received_at = item.received_at;
    loop_.input().proxy_arrivals.push_back(std::move(arrival));
}

void proxy_listener::refuse(exchange &item, result_code code,
                            std::string const &message)
{
    proxy_answer answer;
    answer.kind = proxy_answer_kind::refused;
    answer.status = http_status(code);
    answer.code = code;
    answer.message = message;
    refuse(item, answer);
}

void proxy_listener::refuse(exchange &item, proxy_answer const &answer)
{
    auto headers = codec_.local_answer_headers(answer);
    headers.emplace_back("Content-Type", json_type);
    send_complete(item, answer, headers,
                  error_document(answer.code, answer.message));
}

void proxy_listener::send_complete(exchange &item, proxy_answer const &answer,
                                   header_list const &headers,
                                   std::string const &body)
{
    if (item.answered())
    {
        return;
    }
    item.answer_complete = true;
    auto *message = item.message();
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
    acceptor().set_deadline(server_->connection_of(item), reader_timeout);
    item.unpause();
    item.buffered_bytes += static_cast<std::int64_t>(body.size());
    server_->count_answer(item, body.size());
}

void proxy_listener::begin_stream(exchange &item, proxy_answer const &answer)
{
    auto *message = item.message();
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

void proxy_listener::write_chunk(exchange &item, std::string const &bytes)
{
    item.buffered_bytes += static_cast<std::int64_t>(bytes.size());
    soup_message_body_append(
        soup_server_message_get_response_body(item.message()), SOUP_MEMORY_COPY,
        bytes.data(), bytes.size());
    soup_server_message_unpause(item.message());
    item.paused = false;
    update_backpressure(item);
    server_->count_answer(item, bytes.size());
}

void proxy_listener::answer(proxy_answer const &answer)
{
    auto const found = by_request_.find(answer.request);
    if (found == by_request_.end())
    {
        return;
    }
    auto &item = *found->second;
    switch (answer.kind)
    {
    case proxy_answer_kind::begin:
        begin_stream(item, answer);
        return;
    case proxy_answer_kind::body_chunk:
        write_chunk(item, answer.bytes);
        return;
    case proxy_answer_kind::complete:
        by_request_.erase(found);
        send_complete(item, answer, answer.headers, answer.bytes);
        return;
    case proxy_answer_kind::end:
        by_request_.erase(found);
        item.answer_complete = true;
        soup_message_body_complete(
            soup_server_message_get_response_body(item.message()));
        soup_server_message_unpause(item.message());
        return;
    case proxy_answer_kind::aborted:
        by_request_.erase(found);
        abort_exchange(item);
        return;
    case proxy_answer_kind::refused:
        by_request_.erase(found);
        refuse(item, answer);
        return;
    }
}

void proxy_listener::record_written(exchange &item, std::int64_t bytes)
{
    item.buffered_bytes -= bytes;
    update_backpressure(item);
}

void proxy_listener::update_backpressure(exchange &item)
{
    if (!item.streaming)
    {
        return;
    }
    if (item.buffered_bytes <= 0)
    {
        acceptor().clear_deadline(server_->connection_of(item));
    }
    else
    {
        acceptor().set_deadline(server_->connection_of(item), reader_timeout);
    }
    bool const stalled = item.buffered_bytes > limits_.max_buffered_bytes ||
                         (item.stalled && item.buffered_bytes > 0);
    if (std::exchange(item.stalled, stalled) != stalled && on_backpressure)
    {
        on_backpressure(item.request, stalled);
    }
}

void proxy_listener::abort_exchange(exchange &item)
{
    item.answer_complete = true;
    acceptor().shut_down(server_->connection_of(item));
    soup_server_message_unpause(item.message());
}

void proxy_listener::handle_peer_closed(exchange &item)
{
    if (item.answered() || item.request.value() == 0)
    {
        return;
    }
    report_departure(item);
    abort_exchange(item);
}

void proxy_listener::report_departure(exchange &item)
{
    if (by_request_.erase(item.request) != 0)
    {
        loop_.input().proxy_disconnects.push_back({item.request});
    }
}

void proxy_listener::handle_end(exchange &item)
{
    report_departure(item);
    acceptor().set_deadline(server_->connection_of(item),
                            state_.proxy.routing->limits.idle_timeout);
}

} // namespace agateledge
