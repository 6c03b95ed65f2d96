#include "engine_poller.hpp"

#include "daemon_loop.hpp"
#include "engine_protocol.hpp"
#include "http_client.hpp"
#include "world.hpp"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Minimum interval between two polls of one engine.
constexpr duration min_poll_interval = milliseconds(400);
/// When the byte budget is short, engines with open requests are polled this
/// many times as often as idle ones.
constexpr int open_work_weight = 8;
/// At most one engine is polled per interval.
constexpr duration timer_interval = milliseconds(25);
/// Part of the 8 KB/s of control traffic allowed per daemon.
constexpr double bytes_per_second = 3000;
constexpr double burst_bytes = 16000;
/// Estimated size of the request line and headers of a poll and its reply.
constexpr std::size_t header_bytes = 330;
/// Cache events of an engine are polled after every n-th load poll.
constexpr int load_polls_per_cache_poll = 4;
constexpr duration poll_timeout = seconds(1);
constexpr int http_ok = 200;

bool is_success(http_reply const &reply)
{
    return reply.outcome == http_outcome::answered && reply.status == http_ok;
}

http_request make_get(std::string const &address, std::string path)
{
    http_request request;
    request.address = address;
    request.path = std::move(path);
    request.total_timeout = poll_timeout;
    return request;
}

} // namespace

engine_poller::engine_poller(world const &state, http_client &http,
                             daemon_loop &loop)
    : state_(state), http_(http), loop_(loop),
      byte_budget_(bytes_per_second, burst_bytes)
{
}

engine_poller::~engine_poller()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

void engine_poller::start()
{
    schedule();
}

void engine_poller::schedule()
{
    timer_ = g_timeout_add(
        static_cast<guint>(
            std::chrono::duration_cast<milliseconds>(timer_interval).count()),
        [](gpointer self) -> gboolean
        {
            auto *poller = static_cast<engine_poller *>(self);
            poller->poll_next();
            poller->schedule();
            return G_SOURCE_REMOVE;
        },
        this);
}

void engine_poller::poll_next()
{
    if (byte_budget_.available(daemon_loop::clock_now()) <= 0)
    {
        return;
    }
    if (auto const *engine = choose_engine())
    {
        poll_load(*engine);
    }
}

engine_definition const *engine_poller::choose_engine()
{
    auto const now = daemon_loop::clock_now();
    engine_definition const *chosen = nullptr;
    duration max_weighted_age = min_poll_interval;
    for (auto const &engine : state_.engines.all())
    {
        auto const &cursor = cursors_[engine.definition.name];
        if (!engine.configured || engine.definition.withdrawn || cursor.polling)
        {
            continue;
        }
        auto const age = now - cursor.polled_at;
        auto const weighted_age =
            engine.local_requests > 0 ? age * open_work_weight : age;
        if (age >= min_poll_interval && weighted_age >= max_weighted_age)
        {
            max_weighted_age = weighted_age;
            chosen = &engine.definition;
        }
    }
    return chosen;
}

void engine_poller::charge_poll(std::size_t reply_bytes)
{
    byte_budget_.consume_with_debt(
        daemon_loop::clock_now(),
        static_cast<double>(header_bytes + reply_bytes));
}

void engine_poller::poll_load(engine_definition const &engine)
{
    auto &polled = cursors_[engine.name];
    polled.polling = true;
    polled.polled_at = daemon_loop::clock_now();
    ++polled.polls;
    http_.send(make_get(engine.address, "/v1/load"),
               [this, name = engine.name,
                address = engine.address](http_reply const &reply)
               {
                   auto &cursor = cursors_[name];
                   cursor.polling = false;
                   charge_poll(reply.body.size());
                   auto report = load_report_from_text(name, reply.body);
                   if (!is_success(reply) || !report.ok())
                   {
                       return;
                   }
                   if (report->generation < cursor.generation)
                   {
                       cursor.last_cache_event = 0;
                   }
                   cursor.generation = report->generation;
                   loop_.input().load_reports.push_back(*std::move(report));
                   if (cursor.polls % load_polls_per_cache_poll == 0)
                   {
                       poll_cache(name, address);
                   }
               });
}

void engine_poller::poll_cache(std::string const &name,
                               std::string const &address)
{
    auto const after = cursors_[name].last_cache_event;
    http_.send(
        make_get(address, "/v1/cache_events?after=" + std::to_string(after)),
        [this, name](http_reply const &reply)
        {
            charge_poll(reply.body.size());
            auto events = cache_events_from_text(name, reply.body);
            if (!is_success(reply) || !events.ok() || events->empty())
            {
                return;
            }
            cursors_[name].last_cache_event = events->back().sequence;
            auto &input = loop_.input().cache_events;
            std::ranges::move(*events, std::back_inserter(input));
        });
}

} // namespace agateledge
