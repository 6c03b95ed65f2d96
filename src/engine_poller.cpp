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

/// Interval per engine in a small fleet.
constexpr duration poll_interval = milliseconds(400);
/// Least time between two polls; with two calls a poll this bounds the load
/// polls of one daemon to 80 calls a second.
constexpr duration min_spacing = milliseconds(25);
constexpr duration poll_timeout = seconds(1);
constexpr int http_ok = 200;

bool is_good(http_reply const &reply)
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
    : state_(state), http_(http), loop_(loop)
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
    auto const count =
        static_cast<int>(std::max<std::size_t>(1, state_.engines.all().size()));
    auto const spacing = std::max(min_spacing, poll_interval / count);
    timer_ = g_timeout_add(
        static_cast<guint>(
            std::chrono::duration_cast<milliseconds>(spacing).count()),
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
    auto const &engines = state_.engines.all();
    if (engines.empty())
    {
        return;
    }
    next_ = (next_ + 1) % engines.size();
    auto const &engine = engines[next_];
    if (engine.configured && !engine.definition.withdrawn &&
        !cursors_[engine.definition.name].polling)
    {
        poll_load(engine.definition);
    }
}

void engine_poller::poll_load(engine_definition const &engine)
{
    cursors_[engine.name].polling = true;
    http_.send(make_get(engine.address, "/v1/load"),
               [this, name = engine.name,
                address = engine.address](http_reply const &reply)
               {
                   auto &cursor = cursors_[name];
                   cursor.polling = false;
                   auto report = load_report_from_text(name, reply.body);
                   if (!is_good(reply) || !report.ok())
                   {
                       return;
                   }
                   if (report->generation < cursor.generation)
                   {
                       cursor.last_cache_event = 0;
                   }
                   cursor.generation = report->generation;
                   loop_.input().load_reports.push_back(*std::move(report));
                   poll_cache(name, address);
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
            auto events = cache_events_from_text(name, reply.body);
            if (!is_good(reply) || !events.ok() || events->empty())
            {
                return;
            }
            cursors_[name].last_cache_event = events->back().sequence;
            auto &input = loop_.input().cache_events;
            std::ranges::move(*events, std::back_inserter(input));
        });
}

} // namespace agateledge
