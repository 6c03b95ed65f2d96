#include "caller_listener.hpp"

#include "caller_exchange.hpp"
#include "daemon_loop.hpp"
#include "model_request.hpp"
#include "request_id.hpp"
#include "result_code.hpp"
#include "signing_keys.hpp"
#include "world.hpp"

#include <ctime>
#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_not_found = 404;
constexpr int http_method_not_allowed = 405;
constexpr int http_header_too_large = 431;
/// Time for which a connection may stay open between two requests.
constexpr duration keep_alive_time = seconds(75);
/// Time in which a caller must have read some of the bytes that wait for it.
constexpr duration reader_timeout = seconds(30);
/// A body beyond the limit is read and dropped up to this multiple of the
/// limit, so that the caller reads the error; then the connection is cut.
constexpr std::int64_t dropped_body_factor = 4;
constexpr std::size_t max_key_bytes = 256;
constexpr std::string_view service_prefix = "/v1/services/";
constexpr std::string_view outcome_prefix = "/outcomes/";

std::string header(SoupServerMessage *message, char const *name)
{
    auto const *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::int64_t header_bytes(SoupServerMessage *message)
{
    std::int64_t total = 0;
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message),
        [](char const *name, char const *value, gpointer sum)
        {
            *static_cast<std::int64_t *>(sum) += static_cast<std::int64_t>(
                std::string_view(name).size() + std::string_view(value).size());
        },
        &total);
    return total;
}

std::string_view method_of(SoupServerMessage *message)
{
    auto const *method = soup_server_message_get_method(message);
    return method == nullptr ? "" : method;
}

std::string query_of(SoupServerMessage *message)
{
    auto const *query = g_uri_get_query(soup_server_message_get_uri(message));
    return query == nullptr ? std::string() : "?" + std::string(query);
}

std::string body_of(SoupServerMessage *message)
{
    auto *body = soup_server_message_get_request_body(message);
    GBytes *bytes = soup_message_body_flatten(body);
    gsize size = 0;
    auto const *data = g_bytes_get_data(bytes, &size);
    std::string text(static_cast<char const *>(data), size);
    g_bytes_unref(bytes);
    return text;
}

std::string unescape(std::string_view part)
{
    gchar_ptr const text(g_uri_unescape_segment(
        part.data(), part.data() + part.size(), nullptr));
    return text ? std::string(text.get()) : std::string();
}

answer_shape shape_of(model_request const &request, completion_kind kind)
{
    answer_shape shape;
    shape.writer.emplace(kind, request.arrival.model,
                         static_cast<std::int64_t>(std::time(nullptr)));
    shape.stream = request.stream;
    shape.include_usage = request.include_usage;
    shape.prompt_tokens = request.arrival.prompt_tokens;
    shape.max_output_tokens = request.arrival.max_output_tokens;
    return shape;
}

void close_after_answer(caller_exchange const &exchange)
{
    soup_message_headers_replace(
        soup_server_message_get_response_headers(exchange.message()),
        "Connection", "close");
}

} // namespace

struct caller_listener::callbacks
{
    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        static_cast<caller_listener *>(self)->begin(message);
    }

    static void got_headers(SoupServerMessage *message, gpointer self)
    {
        auto *listener = static_cast<caller_listener *>(self);
        if (auto *exchange = listener->find(message))
        {
            listener->check_headers(*exchange);
        }
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        auto *listener = static_cast<caller_listener *>(self);
        if (auto *exchange = listener->find(message))
        {
            listener->count_body(
                *exchange, static_cast<std::int64_t>(g_bytes_get_size(chunk)));
        }
    }

    static void wrote(SoupServerMessage *message, guint bytes, gpointer self)
    {
        auto *listener = static_cast<caller_listener *>(self);
        if (auto *exchange = listener->find(message))
        {
            listener->wrote(*exchange, bytes);
        }
    }

    static void finished(SoupServerMessage *message, gpointer self)
    {
        static_cast<caller_listener *>(self)->end(message);
    }

    static void handle(SoupServer *, SoupServerMessage *message,
                       char const *path, GHashTable *, gpointer self)
    {
        static_cast<caller_listener *>(self)->route(message, path);
    }
};

caller_listener::caller_listener(world const &state, daemon_loop &loop,
                                 signing_keys const &keys,
                                 listener_limits limits)
    : state_(state), loop_(loop), keys_(keys), limits_(limits),
      server_(soup_server_new("server-header", "agateledge", "raw-paths", TRUE,
                              nullptr)),
      gate_(server_.get(), limits)
{
    g_signal_connect(server_.get(), "request-started",
                     G_CALLBACK(callbacks::started), this);
    soup_server_add_handler(server_.get(), nullptr, callbacks::handle, this,
                            nullptr);
    gate_.on_peer_closed = [this](connection_gate::connection_key key)
    { peer_closed(key); };
}

caller_listener::~caller_listener()
{
    for (auto const &[message, exchange] : exchanges_)
    {
        g_signal_handlers_disconnect_by_data(message, this);
    }
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    soup_server_disconnect(server_.get());
}

absl::Status caller_listener::start(std::string const &address,
                                    tls_settings const &tls)
{
    return gate_.start(address, tls);
}

caller_exchange *caller_listener::find(SoupServerMessage *message)
{
    auto const found = exchanges_.find(message);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void caller_listener::begin(SoupServerMessage *message)
{
    exchanges_.emplace(message, std::make_unique<caller_exchange>(message));
    by_connection_.insert_or_assign(
        soup_server_message_get_remote_address(message), message);
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

void caller_listener::check_headers(caller_exchange &exchange)
{
    auto *message = exchange.message();
    gate_.expect_within(soup_server_message_get_remote_address(message),
                        limits_.request_timeout);
    auto const *uri = soup_server_message_get_uri(message);
    bool const health =
        uri != nullptr &&
        std::string_view(g_uri_get_path(const_cast<GUri *>(uri))) == "/healthz";
    directory_.update(state_.config);
    exchange.caller = directory_.authenticate(header(message, "Authorization"));
    auto const length = soup_message_headers_get_content_length(
        soup_server_message_get_request_headers(message));
    if (header_bytes(message) > limits_.max_header_bytes)
    {
        exchange.refuse_with_status(http_header_too_large,
                                    result_code::invalid_request,
                                    "the headers are too large");
    }
    else if (exchange.caller.empty() && !health)
    {
        exchange.refuse(result_code::unauthenticated,
                        "no caller has this bearer token");
    }
    else if (length > limits_.max_body_bytes)
    {
        exchange.refuse(result_code::body_too_large, "the body is too large");
    }
    if (exchange.answered())
    {
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        close_after_answer(exchange);
    }
}

void caller_listener::count_body(caller_exchange &exchange, std::int64_t bytes)
{
    auto *message = exchange.message();
    exchange.body_bytes += bytes;
    if (exchange.body_bytes > limits_.max_body_bytes && !exchange.answered())
    {
        soup_message_body_set_accumulate(
            soup_server_message_get_request_body(message), FALSE);
        exchange.refuse(result_code::body_too_large, "the body is too large");
        close_after_answer(exchange);
    }
    if (exchange.body_bytes > limits_.max_body_bytes * dropped_body_factor)
    {
        gate_.cut(soup_server_message_get_remote_address(message));
    }
}

void caller_listener::route(SoupServerMessage *message, std::string const &path)
{
    auto *exchange = find(message);
    if (exchange == nullptr || exchange->answered())
    {
        return;
    }
    auto *key = soup_server_message_get_remote_address(message);
    gate_.expect_nothing(key);
    if (gate_.peer_closed(key))
    {
        exchange->refuse(result_code::invalid_request,
                         "the connection was closed for sending before the "
                         "answer");
        close_after_answer(*exchange);
        return;
    }
    route_path(*exchange, path);
}

void caller_listener::route_path(caller_exchange &exchange,
                                 std::string_view path)
{
    auto const method = method_of(exchange.message());
    if (path == "/healthz")
    {
        take_health(exchange);
        return;
    }
    if (path.starts_with(service_prefix))
    {
        take_service(exchange, path.substr(service_prefix.size()));
        return;
    }
    bool const chat = path == "/v1/chat/completions";
    if (!chat && path != "/v1/completions")
    {
        exchange.refuse_with_status(
            http_not_found, result_code::invalid_request, "no such path");
        return;
    }
    if (method != "POST")
    {
        exchange.refuse_with_status(http_method_not_allowed,
                                    result_code::invalid_request,
                                    "the method must be POST");
        return;
    }
    take_completion(exchange,
                    chat ? completion_kind::chat : completion_kind::text);
}

void caller_listener::take_health(caller_exchange &exchange)
{
    if (state_.draining)
    {
        exchange.refuse(result_code::daemon_draining, "the daemon is stopping");
        return;
    }
    caller_reply reply;
    reply.kind = caller_reply_kind::finished;
    reply.text = "{\"status\":\"ok\"}";
    exchange.reply(reply, {});
}

void caller_listener::take_completion(caller_exchange &exchange,
                                      completion_kind kind)
{
    auto request =
        parse_model_request(kind, body_of(exchange.message()), exchange.caller);
    if (!request.ok())
    {
        auto const message = request.status().message();
        exchange.refuse(code_of(request.status()),
                        {message.data(), message.size()});
        return;
    }
    if (!take_resume(exchange, request->stream, request->arrival))
    {
        return;
    }
    exchange.await_answer(shape_of(*request, kind));
    submit(exchange, std::move(request->arrival));
}

bool caller_listener::take_resume(caller_exchange &exchange, bool stream,
                                  request_arrival &arrival)
{
    auto const text = header(exchange.message(), "Last-Event-ID");
    if (text.empty())
    {
        return true;
    }
    auto point = resume_point_of(text, exchange.caller, keys_);
    if (!point || !stream)
    {
        exchange.refuse(result_code::unknown_request,
                        "Last-Event-ID does not name a stream of this caller");
        return false;
    }
    arrival.resume = std::make_shared<resume_point const>(*std::move(point));
    return true;
}

void caller_listener::take_service(caller_exchange &exchange,
                                   std::string_view rest)
{
    auto const method = method_of(exchange.message());
    if (method != "POST" && method != "GET")
    {
        exchange.refuse_with_status(http_method_not_allowed,
                                    result_code::invalid_request,
                                    "the method must be GET or POST");
        return;
    }
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const path = rest.substr(slash);
    request_arrival arrival;
    arrival.caller = exchange.caller;
    arrival.service = unescape(rest.substr(0, slash));
    arrival.method = std::string(method);
    arrival.path =
        (path.empty() ? "/" : std::string(path)) + query_of(exchange.message());
    arrival.idempotent = method == "GET";
    arrival.idempotency_key = header(exchange.message(), "Idempotency-Key");
    if (method == "GET" && path.starts_with(outcome_prefix))
    {
        arrival.method = "OUTCOME";
        arrival.idempotency_key = unescape(path.substr(outcome_prefix.size()));
    }
    if (arrival.service.empty() ||
        arrival.idempotency_key.size() > max_key_bytes)
    {
        exchange.refuse(result_code::invalid_request,
                        "the service name is missing or the key is too long");
        return;
    }
    arrival.body =
        std::make_shared<std::string const>(body_of(exchange.message()));
    exchange.await_answer({});
    submit(exchange, std::move(arrival));
}

void caller_listener::submit(caller_exchange &exchange, request_arrival arrival)
{
    exchange.request = request_number(++last_request_);
    by_request_.emplace(exchange.request, &exchange);
    arrival.request = exchange.request;
    arrival.class_name = header(exchange.message(), "Agateledge-Class");
    loop_.input().arrivals.push_back(std::move(arrival));
}

void caller_listener::reply(caller_reply const &reply)
{
    auto const found = by_request_.find(reply.request);
    if (found == by_request_.end())
    {
        return;
    }
    auto &exchange = *found->second;
    std::string id;
    if (reply.kind == caller_reply_kind::accepted)
    {
        id = sign_request_id(
            {state_.identity.data_centre, reply.engine, reply.stream_key},
            exchange.caller, keys_);
        bool const held = exchange.held;
        set_held(exchange, false);
        exchange.stream_key = reply.stream_key;
        set_held(exchange, held);
    }
    exchange.reply(reply, id);
    update_hold(exchange);
    if (exchange.answered())
    {
        set_held(exchange, false);
        by_request_.erase(exchange.request);
    }
}

void caller_listener::update_hold(caller_exchange &exchange)
{
    auto *key = soup_server_message_get_remote_address(exchange.message());
    if (exchange.buffered_bytes() <= 0)
    {
        gate_.expect_nothing(key);
        set_held(exchange, false);
        return;
    }
    gate_.expect_within(key, reader_timeout);
    if (exchange.buffered_bytes() > limits_.max_buffered_bytes)
    {
        set_held(exchange, true);
    }
}

void caller_listener::wrote(caller_exchange &exchange, std::int64_t bytes)
{
    exchange.wrote(bytes);
    update_hold(exchange);
}

void caller_listener::set_held(caller_exchange &exchange, bool held)
{
    if (std::exchange(exchange.held, held) == held ||
        exchange.stream_key.empty())
    {
        return;
    }
    if (held)
    {
        held_keys_.insert(exchange.stream_key);
    }
    else
    {
        held_keys_.erase(exchange.stream_key);
    }
    if (on_hold)
    {
        on_hold(exchange.stream_key, held);
    }
}

bool caller_listener::is_held(std::string const &stream_key) const
{
    return held_keys_.contains(stream_key);
}

void caller_listener::peer_closed(connection_gate::connection_key key)
{
    auto const found = by_connection_.find(key);
    auto *exchange =
        found == by_connection_.end() ? nullptr : find(found->second);
    if (exchange == nullptr || !exchange->open())
    {
        return;
    }
    depart(*exchange);
    gate_.cut(key);
    // Ends the message; nothing reaches the caller any more.
    exchange->refuse(result_code::invalid_request, "the caller has left");
}

void caller_listener::depart(caller_exchange &exchange)
{
    set_held(exchange, false);
    if (by_request_.erase(exchange.request) != 0)
    {
        loop_.input().departures.push_back({exchange.request});
    }
}

void caller_listener::end(SoupServerMessage *message)
{
    auto const found = exchanges_.find(message);
    if (found == exchanges_.end())
    {
        return;
    }
    depart(*found->second);
    auto *key = soup_server_message_get_remote_address(message);
    gate_.expect_within(key, keep_alive_time);
    auto const connection = by_connection_.find(key);
    if (connection != by_connection_.end() && connection->second == message)
    {
        by_connection_.erase(connection);
    }
    g_signal_handlers_disconnect_by_data(message, this);
    exchanges_.erase(found);
}

} // namespace agateledge
