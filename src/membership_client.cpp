#include "membership_client.hpp"

#include "backoff_delay.hpp"
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "peer_messages.hpp"

#include <glib.h>

#include <utility>

namespace agateledge
{

namespace
{

constexpr duration poll_interval = seconds(1);
constexpr duration call_timeout = seconds(2);
constexpr duration max_backoff = seconds(5);

} // namespace

membership_client::membership_client(http_client &http, daemon_loop &loop,
                                     std::string address, std::uint64_t seed)
    : http_(http), loop_(loop), address_(std::move(address)), random_(seed)
{
}

membership_client::~membership_client()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

void membership_client::start()
{
    if (!address_.empty())
    {
        poll();
    }
}

void membership_client::poll()
{
    http_request request;
    request.address = address_;
    request.path = "/v1/hosts";
    request.total_timeout = call_timeout;
    http_.send(request,
               [this](http_reply const &reply) { handle_reply(reply); });
}

void membership_client::handle_reply(http_reply const &reply)
{
    constexpr int ok = 200;
    if (reply.outcome == http_outcome::answered && reply.status == ok)
    {
        auto report = membership_report_from_text(reply.body);
        if (report.ok())
        {
            failures_ = 0;
            loop_.input().membership_reports.push_back(*std::move(report));
            poll_after(poll_interval);
            return;
        }
    }
    ++failures_;
    poll_after(backoff_delay(random_, failures_, poll_interval, max_backoff));
}

void membership_client::poll_after(duration delay)
{
    auto const delay_ms =
        std::chrono::duration_cast<milliseconds>(delay).count();
    timer_ = g_timeout_add(
        static_cast<guint>(delay_ms),
        [](gpointer self) -> gboolean
        {
            auto *client = static_cast<membership_client *>(self);
            client->timer_ = 0;
            client->poll();
            return G_SOURCE_REMOVE;
        },
        this);
}

} // namespace agateledge
