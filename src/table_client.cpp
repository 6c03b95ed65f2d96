#include "table_client.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "table_protocol.hpp"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;
constexpr duration call_timeout = seconds(2);
/// Maximum time in the queue. A call that expires there was never sent, so that
/// it has certainly had no effect.
constexpr duration queue_timeout = seconds(1);
constexpr std::size_t max_queued_calls = 512;
constexpr std::size_t max_calls_in_flight = 64;
constexpr duration queue_check_interval = milliseconds(10);
/// Capacity of each token bucket, in seconds of its rate.
constexpr double burst_seconds = 1;

bool bypasses_queue(table_call const &call)
{
    return call.owner == table_owner::lease ||
           call.owner == table_owner::order ||
           call.owner == table_owner::configuration;
}

bool had_no_effect(http_reply const &reply)
{
    return reply.outcome == http_outcome::failed_before_send ||
           (reply.outcome == http_outcome::answered &&
            (reply.status == http_too_many_requests ||
             reply.status == http_unavailable));
}

table_reply failed_reply(table_call const &call, http_reply const &reply)
{
    bool const unknown = call.is_write() && !had_no_effect(reply);
    table_reply out;
    out.operation = call.operation;
    out.owner = call.owner;
    out.outcome = unknown ? table_outcome::unknown : table_outcome::unavailable;
    return out;
}

} // namespace

table_client::table_client(http_client &http, daemon_loop &loop,
                           std::string address, table_service_limits limits)
    : http_(http), loop_(loop), address_(std::move(address)),
      write_budget_(limits.writes_per_second,
                    limits.writes_per_second * burst_seconds),
      read_budget_(limits.reads_per_second,
                   limits.reads_per_second * burst_seconds)
{
}

table_client::~table_client()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

void table_client::call(table_call const &call)
{
    if (bypasses_queue(call) || (queue_.empty() && may_send(call)))
    {
        send(call);
        return;
    }
    if (queue_.size() >= max_queued_calls)
    {
        reply_unavailable(call);
        return;
    }
    queue_.push_back({call, daemon_loop::clock_now() + queue_timeout});
    schedule_queue_check();
}

bool table_client::may_send(table_call const &call)
{
    auto &budget = call.is_write() ? write_budget_ : read_budget_;
    return in_flight_ < max_calls_in_flight &&
           budget.try_consume(daemon_loop::clock_now());
}

void table_client::send(table_call const &call)
{
    if (bypasses_queue(call))
    {
        auto &budget = call.is_write() ? write_budget_ : read_budget_;
        budget.consume_with_debt(daemon_loop::clock_now());
    }
    ++in_flight_;
    http_request request;
    request.method = "POST";
    request.address = address_;
    request.path = call.is_write() ? "/v1/transact" : "/v1/read";
    request.body =
        std::make_shared<std::string const>(table_call_to_text(call));
    request.total_timeout = call_timeout;
    http_.send(request, [this, call](http_reply const &reply)
               { handle_reply(call, reply); });
}

void table_client::handle_reply(table_call const &call, http_reply const &reply)
{
    --in_flight_;
    auto out = failed_reply(call, reply);
    if (reply.outcome == http_outcome::answered && reply.status == http_ok)
    {
        auto parsed = table_reply_from_text(call, reply.body);
        if (parsed.ok())
        {
            out = *std::move(parsed);
        }
    }
    loop_.input().table_replies.push_back(std::move(out));
}

void table_client::reply_unavailable(table_call const &call)
{
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    reply.outcome = table_outcome::unavailable;
    loop_.input().table_replies.push_back(std::move(reply));
}

void table_client::send_queued_calls()
{
    expire_queued_calls();
    while (!queue_.empty() && may_send(queue_.front().call))
    {
        auto const next = std::move(queue_.front());
        queue_.pop_front();
        send(next.call);
    }
    if (!queue_.empty())
    {
        schedule_queue_check();
    }
}

void table_client::expire_queued_calls()
{
    auto const now = daemon_loop::clock_now();
    while (!queue_.empty() && queue_.front().expires_at <= now)
    {
        reply_unavailable(queue_.front().call);
        queue_.pop_front();
    }
}

void table_client::schedule_queue_check()
{
    if (timer_ != 0)
    {
        return;
    }
    auto const delay =
        std::chrono::duration_cast<milliseconds>(queue_check_interval).count();
    timer_ = g_timeout_add(
        static_cast<guint>(delay),
        [](gpointer self) -> gboolean
        {
            auto *client = static_cast<table_client *>(self);
            client->timer_ = 0;
            client->send_queued_calls();
            return G_SOURCE_REMOVE;
        },
        this);
}

} // namespace agateledge
