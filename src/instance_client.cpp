#include "instance_client.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "proxy_codec.hpp"

#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_ok = 200;

/// Size limit of the reply to a prefill call, which consists of a handle and
/// two numbers.
constexpr std::size_t max_prefill_reply_bytes = 65536;

/// Timeout of the release of a KV cache.
constexpr duration release_timeout = seconds(1);

proxy_event_kind kind_of(http_outcome outcome, reply_progress progress)
{
    if (progress == reply_progress::truncated)
    {
        return proxy_event_kind::truncated;
    }
    if (progress == reply_progress::malformed)
    {
        return proxy_event_kind::malformed;
    }
    switch (outcome)
    {
    case http_outcome::answered:
        return proxy_event_kind::finished;
    case http_outcome::failed_before_send:
        return proxy_event_kind::failed_before_send;
    case http_outcome::failed_after_send:
        return proxy_event_kind::failed_after_send;
    }
    return proxy_event_kind::failed_after_send;
}

} // namespace

instance_client::instance_client(http_client &http, daemon_loop &loop,
                                 proxy_codec const &codec)
    : http_(http), loop_(loop), codec_(codec)
{
}

void instance_client::call(proxy_call const &call)
{
    auto request = codec_.encode_call(call);
    request.connect_timeout = call.connect_timeout;
    request.send_by = call.send_by;
    request.reset_when_given_up = true;
    request.new_connection = true;
    auto const shared = std::make_shared<proxy_call const>(call);
    http_call_handlers handlers;
    handlers.on_send = [this, shared]
    {
        if (on_send)
        {
            on_send(*shared, daemon_loop::clock_now() - shared->placed_at);
        }
    };
    handlers.on_head = [this, shared](int status, header_list const &headers)
    { handle_head(*shared, status, headers); };
    handlers.on_bytes = [this, shared](std::string_view bytes)
    { handle_bytes(*shared, bytes); };
    handlers.on_end = [this, shared](http_outcome outcome)
    { handle_end(*shared, outcome); };
    by_request_.insert_or_assign(call.request, call.attempt);
    open_[call.attempt].request = call.request;
    auto http = http_.open(request, std::move(handlers));
    auto const found = open_.find(call.attempt);
    if (found != open_.end())
    {
        found->second.http = std::move(http);
    }
}

void instance_client::cancel(proxy_cancel const &cancel)
{
    auto const found = open_.find(cancel.attempt);
    if (found != open_.end())
    {
        http_.cancel(found->second.http);
        remove_call(cancel.attempt);
    }
}

void instance_client::release(kv_release const &release)
{
    auto request = codec_.encode_release(release);
    request.total_timeout = release_timeout;
    request.new_connection = true;
    // Errors are ignored: a KV cache that is not released expires at the
    // engine.
    http_.send(request, [](http_reply const &) {});
}

void instance_client::set_paused(request_number request, bool paused)
{
    auto const attempt = by_request_.find(request);
    if (attempt == by_request_.end())
    {
        return;
    }
    auto const &http = open_.at(attempt->second).http;
    if (paused)
    {
        http->pause();
        return;
    }
    http->resume();
}

void instance_client::handle_head(proxy_call const &call, int status,
                                  header_list headers)
{
    open_.at(call.attempt).status = status;
    auto head = codec_.decode_head(call, {status, std::move(headers)});
    proxy_event event;
    event.attempt = call.attempt;
    event.kind = proxy_event_kind::head;
    event.head = std::make_shared<proxy_reply_head const>(std::move(head));
    loop_.input().proxy_events.push_back(std::move(event));
}

void instance_client::handle_bytes(proxy_call const &call,
                                   std::string_view bytes)
{
    if (call.stage == proxy_stage::prefill)
    {
        handle_prefill_bytes(call, bytes);
        return;
    }
    proxy_event event;
    event.attempt = call.attempt;
    event.kind = proxy_event_kind::bytes;
    event.bytes = std::string(bytes);
    loop_.input().proxy_events.push_back(std::move(event));
}

void instance_client::handle_prefill_bytes(proxy_call const &call,
                                           std::string_view bytes)
{
    auto &open = open_.at(call.attempt);
    if (open.prefill_body.size() + bytes.size() <= max_prefill_reply_bytes)
    {
        open.prefill_body.append(bytes);
        return;
    }
    http_.cancel(open.http);
    handle_end(call, http_outcome::failed_after_send);
}

void instance_client::handle_end(proxy_call const &call, http_outcome outcome)
{
    auto const &open = open_.at(call.attempt);
    bool const prefill_succeeded = call.stage == proxy_stage::prefill &&
                                   outcome == http_outcome::answered &&
                                   open.status == http_ok;
    if (prefill_succeeded)
    {
        loop_.input().prefill_results.push_back(
            {call.attempt, codec_.decode_prefill(open.prefill_body)});
    }
    else
    {
        proxy_event event;
        event.attempt = call.attempt;
        event.kind = kind_of(outcome, open.http ? open.http->progress()
                                                : reply_progress::incomplete);
        loop_.input().proxy_events.push_back(std::move(event));
    }
    remove_call(call.attempt);
}

void instance_client::remove_call(attempt_number attempt)
{
    auto const found = open_.find(attempt);
    if (found == open_.end())
    {
        return;
    }
    auto const of_request = by_request_.find(found->second.request);
    if (of_request != by_request_.end() && of_request->second == attempt)
    {
        by_request_.erase(of_request);
    }
    open_.erase(found);
}

} // namespace agateledge
