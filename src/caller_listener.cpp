#include "caller_listener.hpp"

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
/// Time for which an idle connection is kept open between two requests.
constexpr duration keep_alive_timeout = seconds(75);
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::string_view service_prefix = "/v1/services/";
constexpr std::string_view outcome_prefix = "/outcomes/";

std::string header(SoupServerMessage *message, char const *name)
{
    auto const *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string_view method_of(SoupServerMessage *message)
{
    auto const *method = soup_server_message_get_method(message);
    return method == nullptr ? "" : method;
}

std::string unescape(std::string_view part)
{
    gchar_ptr const text(g_uri_unescape_segment(
        part.data(), part.data() + part.size(), nullptr));
    return text ? std::string(text.get()) : std::string();
}

answer_format answer_format_of(model_request const &request,
                               completion_kind kind)
{
    answer_format format;
    format.writer.emplace(kind, request.arrival.model,
                          static_cast<std::int64_t>(std::time(nullptr)));
    format.stream = request.stream;
    format.include_usage = request.include_usage;
    format.prompt_tokens = request.arrival.prompt_tokens;
    format.max_output_tokens = request.arrival.max_output_tokens;
    return format;
}

} // namespace

caller_listener::caller_listener(world const &state, daemon_loop &loop,
                                 signing_keys const &keys,
                                 listener_limits limits)
    : state_(state), loop_(loop), keys_(keys), limits_(limits),
      server_("agateledge", limits)
{
    auto &handlers = server_.handlers;
    handlers.on_headers = [this](caller_exchange &exchange)
    { check_headers(exchange); };
    handlers.on_body = [this](caller_exchange &exchange, std::int64_t bytes)
    { count_body(exchange, bytes); };
    handlers.on_request = [this](caller_exchange &exchange, char const *path)
    { route(exchange, path); };
    handlers.on_memory_exhausted = [](caller_exchange &exchange)
    {
        exchange.refuse(result_code::queue_full,
                        "the memory for requests is used up");
    };
    handlers.on_written = [this](caller_exchange &exchange, std::int64_t bytes)
    { record_written(exchange, bytes); };
    handlers.on_peer_closed = [this](caller_exchange &exchange)
    { handle_peer_closed(exchange); };
    handlers.on_end = [this](caller_exchange &exchange)
    { handle_end(exchange); };
}

absl::Status caller_listener::start(std::string const &address,
                                    tls_settings const &tls)
{
    return acceptor().start(address, tls);
}

void caller_listener::check_headers(caller_exchange &exchange)
{
    auto *message = exchange.message();
    acceptor().set_deadline(server_.connection_of(exchange),
                            limits_.request_timeout);
    exchange.received_at = loop_.input_since();
    auto const *uri = soup_server_message_get_uri(message);
    bool const health =
        uri != nullptr &&
        std::string_view(g_uri_get_path(const_cast<GUri *>(uri))) == "/healthz";
    directory_.update(state_.config);
    exchange.caller = directory_.authenticate(header(message, "Authorization"));
    auto const length = soup_message_headers_get_content_length(
        soup_server_message_get_request_headers(message));
    if (request_header_bytes(message) > limits_.max_header_bytes)
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
        discard_request_body(message);
        close_after_answer(message);
    }
}

void caller_listener::count_body(caller_exchange &exchange, std::int64_t bytes)
{
    server_.count_body(exchange, bytes, limits_.max_body_bytes,
                       [&exchange] {
                           exchange.refuse(result_code::body_too_large,
                                           "the body is too large");
                       });
}

void caller_listener::route(caller_exchange &exchange, std::string_view path)
{
    if (exchange.answered())
    {
        return;
    }
    auto *key = server_.connection_of(exchange);
    acceptor().clear_deadline(key);
    if (acceptor().peer_closed(key))
    {
        exchange.refuse(result_code::invalid_request,
                        "the client closed its side of the connection before "
                        "the answer");
        close_after_answer(exchange.message());
        return;
    }
    route_path(exchange, path);
}

void caller_listener::route_path(caller_exchange &exchange,
                                 std::string_view path)
{
    auto const method = method_of(exchange.message());
    if (path == "/healthz")
    {
        answer_health(exchange);
        return;
    }
    if (path.starts_with(service_prefix))
    {
        accept_service(exchange, path.substr(service_prefix.size()));
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
    accept_completion(exchange,
                      chat ? completion_kind::chat : completion_kind::text);
}

void caller_listener::answer_health(caller_exchange &exchange)
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

void caller_listener::accept_completion(caller_exchange &exchange,
                                        completion_kind kind)
{
    auto request =
        parse_model_request(kind, server_.take_body(exchange), exchange.caller);
    if (!request.ok())
    {
        auto const message = request.status().message();
        exchange.refuse(code_of(request.status()),
                        {message.data(), message.size()});
        return;
    }
    if (!read_resume_point(exchange, request->stream, request->arrival))
    {
        return;
    }
    exchange.await_answer(answer_format_of(*request, kind));
    submit(exchange, std::move(request->arrival));
}

bool caller_listener::read_resume_point(caller_exchange &exchange, bool stream,
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

void caller_listener::accept_service(caller_exchange &exchange,
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
    arrival.path = (path.empty() ? "/" : std::string(path)) +
                   request_query(exchange.message());
    arrival.idempotent = method == "GET";
    arrival.idempotency_key = header(exchange.message(), "Idempotency-Key");
    if (method == "GET" && path.starts_with(outcome_prefix))
    {
        arrival.method = "OUTCOME";
        arrival.idempotency_key = unescape(path.substr(outcome_prefix.size()));
    }
    if (arrival.service.empty() ||
        arrival.idempotency_key.size() > max_idempotency_key_bytes)
    {
        exchange.refuse(result_code::invalid_request,
                        "the service name is missing or the idempotency key "
                        "is too long");
        return;
    }
    arrival.body =
        std::make_shared<std::string const>(server_.take_body(exchange));
    exchange.await_answer({});
    submit(exchange, std::move(arrival));
}

void caller_listener::submit(caller_exchange &exchange, request_arrival arrival)
{
    exchange.request = request_number(++last_request_);
    by_request_.emplace(exchange.request, &exchange);
    arrival.request = exchange.request;
    arrival.received_at = exchange.received_at;
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
        bool const stalled = exchange.stalled;
        set_stalled(exchange, false);
        exchange.stream_key = reply.stream_key;
        set_stalled(exchange, stalled);
    }
    exchange.reply(reply, id);
    replied_.push_back(reply.request);
}

void caller_listener::flush()
{
    for (auto const request : std::exchange(replied_, {}))
    {
        auto const found = by_request_.find(request);
        if (found != by_request_.end())
        {
            flush(*found->second);
        }
    }
}

void caller_listener::flush(caller_exchange &exchange)
{
    exchange.flush();
    update_backpressure(exchange);
    if (exchange.answered())
    {
        set_stalled(exchange, false);
        by_request_.erase(exchange.request);
    }
}

void caller_listener::update_backpressure(caller_exchange &exchange)
{
    auto *key = server_.connection_of(exchange);
    if (exchange.unread_bytes() <= 0)
    {
        acceptor().clear_deadline(key);
        set_stalled(exchange, false);
        return;
    }
    acceptor().set_deadline(key, reader_timeout);
    if (exchange.unread_bytes() > limits_.max_buffered_bytes)
    {
        set_stalled(exchange, true);
    }
}

void caller_listener::record_written(caller_exchange &exchange,
                                     std::int64_t bytes)
{
    exchange.record_written(bytes);
    update_backpressure(exchange);
}

void caller_listener::set_stalled(caller_exchange &exchange, bool stalled)
{
    if (std::exchange(exchange.stalled, stalled) == stalled ||
        exchange.stream_key.empty())
    {
        return;
    }
    if (stalled)
    {
        stalled_streams_.insert(exchange.stream_key);
    }
    else
    {
        stalled_streams_.erase(exchange.stream_key);
    }
    if (on_backpressure)
    {
        on_backpressure(exchange.stream_key, stalled);
    }
}

bool caller_listener::is_paused(std::string const &stream_key) const
{
    return stalled_streams_.contains(stream_key);
}

void caller_listener::handle_peer_closed(caller_exchange &exchange)
{
    if (!exchange.open())
    {
        return;
    }
    report_departure(exchange);
    acceptor().shut_down(server_.connection_of(exchange));
    // Marks the exchange as answered; the connection is already shut down, so
    // the caller receives nothing.
    exchange.refuse(result_code::invalid_request, "the client disconnected");
    exchange.flush();
}

void caller_listener::report_departure(caller_exchange &exchange)
{
    set_stalled(exchange, false);
    if (by_request_.erase(exchange.request) != 0)
    {
        loop_.input().caller_disconnects.push_back({exchange.request});
    }
}

void caller_listener::handle_end(caller_exchange &exchange)
{
    report_departure(exchange);
    acceptor().set_deadline(server_.connection_of(exchange),
                            keep_alive_timeout);
}

} // namespace agateledge
