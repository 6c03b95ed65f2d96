#include "engine_client.hpp"

#include "daemon_loop.hpp"
#include "engine_protocol.hpp"
#include "http_client.hpp"
#include "json_text.hpp"
#include "sse_reader.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_unavailable = 503;
constexpr duration cancel_timeout = seconds(2);
/// The engine replies to an order before it executes it, so that the time-out
/// need not cover the execution.
constexpr duration order_timeout = seconds(2);

/// @return true when the status means that the engine has not started the work
bool is_refusal(int status, bool attach)
{
    return status == http_conflict || status == http_unavailable ||
           (attach && status == http_not_found);
}

order_outcome order_outcome_of(http_reply const &reply)
{
    if (reply.outcome == http_outcome::failed_before_send)
    {
        return order_outcome::failed_before_send;
    }
    if (reply.outcome == http_outcome::failed_after_send)
    {
        return order_outcome::unknown;
    }
    return order_outcome_from_text(reply.body);
}

} // namespace

/// Open connection of one attempt.
struct engine_client::stream
{
    attempt_number attempt;
    std::string key;
    bool attach = false;
    std::shared_ptr<http_call> call;
    sse_reader reader;
    int status = 0;
};

engine_client::engine_client(http_client &http, daemon_loop &loop)
    : http_(http), loop_(loop)
{
}

engine_client::~engine_client()
{
    std::ranges::for_each(streams_, [this](auto const &item)
                          { http_.cancel(item.second->call); });
}

void engine_client::call(engine_call const &call)
{
    auto const item = std::make_shared<stream>();
    item->attempt = call.attempt;
    item->key = call.stream_key;
    item->attach = call.attach;
    http_request request;
    request.method = "POST";
    request.address = call.address;
    request.path = "/v1/generate";
    // On a reused connection a late copy of an earlier refusal would be read as
    // the reply to this call.
    request.new_connection = true;
    request.reset_when_given_up = true;
    request.body =
        std::make_shared<std::string const>(engine_call_to_text(call));
    http_call_handlers handlers;
    handlers.on_head = [this, item](int status, header_list const &)
    { on_status(*item, status); };
    handlers.on_bytes = [this, item](std::string_view bytes)
    { on_bytes(*item, bytes); };
    handlers.on_end = [this, item](http_outcome outcome)
    { on_end(*item, outcome); };
    streams_.insert_or_assign(call.attempt, item);
    attempts_by_key_.insert_or_assign(call.stream_key, call.attempt);
    item->call = http_.open(request, std::move(handlers));
    if (is_paused && is_paused(call.stream_key))
    {
        item->call->pause();
    }
}

void engine_client::cancel(attempt_cancel const &cancel)
{
    auto const found = streams_.find(cancel.attempt);
    if (found != streams_.end())
    {
        auto const item = found->second;
        remove_stream(*item);
        http_.cancel(item->call);
    }
    Json::Value json;
    json["stream"] = cancel.stream_key;
    http_request request;
    request.method = "POST";
    request.address = cancel.address;
    request.path = "/v1/cancel";
    request.total_timeout = cancel_timeout;
    request.body = std::make_shared<std::string const>(json_to_text(json));
    http_.send(request, [](http_reply const &) {});
}

void engine_client::send_order(order_call const &call)
{
    // The process may have been paused since the tick checked its authority,
    // which may have expired in the meantime.
    if (daemon_loop::clock_now() >= call.not_after)
    {
        loop_.input().order_replies.push_back(
            {call.order.engine, call.order.id,
             order_outcome::failed_before_send});
        return;
    }
    http_request request;
    request.method = "POST";
    request.address = call.address;
    request.path = "/v1/orders";
    request.total_timeout = order_timeout;
    request.new_connection = true;
    request.body =
        std::make_shared<std::string const>(engine_order_to_text(call.order));
    http_.send(request,
               [this, engine = call.order.engine,
                id = call.order.id](http_reply const &reply)
               {
                   loop_.input().order_replies.push_back(
                       {engine, id, order_outcome_of(reply)});
               });
}

void engine_client::pause_stream(std::string const &stream_key, bool paused)
{
    auto const found = attempts_by_key_.find(stream_key);
    if (found == attempts_by_key_.end())
    {
        return;
    }
    auto const item = streams_.at(found->second);
    if (paused)
    {
        item->call->pause();
        return;
    }
    item->call->resume();
}

void engine_client::on_status(stream &item, int status)
{
    item.status = status;
}

void engine_client::on_bytes(stream &item, std::string_view bytes)
{
    if (item.status != http_ok)
    {
        return;
    }
    bool const valid = item.reader.read(bytes, [this, &item](auto data)
                                        { return on_data(item, data); });
    if (!valid && streams_.contains(item.attempt))
    {
        auto const call = item.call;
        finish_stream(item, engine_event_kind::failed_after_send);
        http_.cancel(call);
    }
}

bool engine_client::on_data(stream &item, std::string_view data)
{
    if (!streams_.contains(item.attempt))
    {
        return true;
    }
    auto event = engine_event_from_text(item.attempt, data);
    if (!event.ok())
    {
        return false;
    }
    if (event->kind != engine_event_kind::chunk)
    {
        remove_stream(item);
    }
    loop_.input().engine_events.push_back(*std::move(event));
    return true;
}

void engine_client::on_end(stream &item, http_outcome outcome)
{
    if (!streams_.contains(item.attempt))
    {
        return;
    }
    if (outcome == http_outcome::failed_before_send)
    {
        finish_stream(item, engine_event_kind::failed_before_send);
        return;
    }
    finish_stream(item, is_refusal(item.status, item.attach)
                            ? engine_event_kind::refused
                            : engine_event_kind::failed_after_send);
}

void engine_client::finish_stream(stream &item, engine_event_kind kind)
{
    engine_event event;
    event.attempt = item.attempt;
    event.kind = kind;
    remove_stream(item);
    loop_.input().engine_events.push_back(std::move(event));
}

void engine_client::remove_stream(stream const &item)
{
    auto const key = attempts_by_key_.find(item.key);
    if (key != attempts_by_key_.end() && key->second == item.attempt)
    {
        attempts_by_key_.erase(key);
    }
    streams_.erase(item.attempt);
}

} // namespace agateledge
