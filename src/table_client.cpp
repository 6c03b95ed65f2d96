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
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;
constexpr duration call_timeout = seconds(2);
/// Longest wait for the budget; after it the call has certainly had no effect.
constexpr duration queue_timeout = seconds(1);
constexpr std::size_t max_queued = 512;
constexpr std::size_t max_in_flight = 64;
constexpr duration pump_interval = milliseconds(10);
/// Part of a second's budget that may be used at once.
constexpr double burst_seconds = 1;

bool is_urgent(table_call const &call)
{
    return call.owner == table_owner::lease ||
           call.owner == table_owner::order ||
           call.owner == table_owner::configuration;
}

bool had_no_effect(http_reply const &reply)
{
    return reply.outcome == http_outcome::failed_before_send ||
           (reply.outcome == http_outcome::answered &&
            (reply.status == http_too_many ||
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
                           std::string address, store_limits limits)
    : http_(http), loop_(loop), address_(std::move(address)),
      writes_(limits.writes_per_second,
              limits.writes_per_second * burst_seconds),
      reads_(limits.reads_per_second, limits.reads_per_second * burst_seconds)
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
    if (is_urgent(call) || (queue_.empty() && may_send(call)))
    {
        send(call);
        return;
    }
    if (queue_.size() >= max_queued)
    {
        answer_unavailable(call);
        return;
    }
    queue_.push_back({call, daemon_loop::clock_now() + queue_timeout});
    schedule_pump();
}

bool table_client::may_send(table_call const &call)
{
    auto &budget = call.is_write() ? writes_ : reads_;
    return in_flight_ < max_in_flight && budget.take(daemon_loop::clock_now());
}

void table_client::send(table_call const &call)
{
    if (is_urgent(call))
    {
        auto &budget = call.is_write() ? writes_ : reads_;
        budget.force(daemon_loop::clock_now());
    }
    ++in_flight_;
    http_request request;
    request.method = "POST";
    request.address = address_;
    request.path = call.is_write() ? "/v1/transact" : "/v1/read";
    request.body =
        std::make_shared<std::string const>(table_call_to_text(call));
    request.total_timeout = call_timeout;
    http_.send(request,
               [this, call](http_reply const &reply) { answer(call, reply); });
}

void table_client::answer(table_call const &call, http_reply const &reply)
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

void table_client::answer_unavailable(table_call const &call)
{
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    reply.outcome = table_outcome::unavailable;
    loop_.input().table_replies.push_back(std::move(reply));
}

void table_client::pump()
{
    expire();
    while (!queue_.empty() && may_send(queue_.front().call))
    {
        auto const next = std::move(queue_.front());
        queue_.pop_front();
        send(next.call);
    }
    if (!queue_.empty())
    {
        schedule_pump();
    }
}

void table_client::expire()
{
    auto const now = daemon_loop::clock_now();
    while (!queue_.empty() && queue_.front().expires_at <= now)
    {
        answer_unavailable(queue_.front().call);
        queue_.pop_front();
    }
}

void table_client::schedule_pump()
{
    if (timer_ != 0)
    {
        return;
    }
    auto const delay =
        std::chrono::duration_cast<milliseconds>(pump_interval).count();
    timer_ = g_timeout_add(
        static_cast<guint>(delay),
        [](gpointer self) -> gboolean
        {
            auto *client = static_cast<table_client *>(self);
            client->timer_ = 0;
            client->pump();
            return G_SOURCE_REMOVE;
        },
        this);
}

} // namespace agateledge
