#include "poll_caches.hpp"

#include "log_proxied_request.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Reads per second of one engine's cache by all daemons together. Each read is
/// billed, and a shared part is typically reused only after some seconds.
constexpr double max_engine_reads_per_s = 6;

/// Reads per second of all engines' caches by one daemon.
constexpr double max_daemon_reads_per_s = 40;

/// Longest interval between two reads of one engine, about the time after which
/// a popular part is reused. If reads were less frequent, the view would be too
/// old to use, and parts are assumed to be cached at their preferred engines.
constexpr duration max_read_interval = seconds(6);

/// Timeout of one read. A later reply would be outdated.
constexpr duration read_timeout = milliseconds(800);

constexpr duration failure_retry_interval = seconds(1);

/// @return time between two reads of one engine's cache by this daemon
duration read_interval(world const &w)
{
    auto const engines = static_cast<double>(w.proxy.instances.all().size());
    return from_seconds(
        std::max(w.proxy.effective_fleet_size() / max_engine_reads_per_s,
                 engines / max_daemon_reads_per_s));
}

void log_read(world &w, instance_state const &engine, std::string event,
              cache_read_reply const &reply)
{
    log_proxied_request(
        w, log_level::info, std::move(event),
        {{"instance", engine.definition.id},
         {"status", std::to_string(reply.status)},
         {"after_change", std::to_string(engine.cache_feed.last_change)},
         {"last_change", std::to_string(reply.last_change)}});
}

void handle_failure(world &w, instance_state &engine,
                    cache_read_reply const &reply)
{
    auto &feed = engine.cache_feed;
    feed.next_read = w.now + failure_retry_interval;
    if (!std::exchange(feed.failing, true))
    {
        log_read(w, engine, "cache_read_failed", reply);
    }
}

void apply_changes(world &w, instance_state &engine,
                   cache_read_reply const &reply)
{
    auto &feed = engine.cache_feed;
    feed.failing = false;
    if (feed.epoch != reply.epoch)
    {
        engine.cache.clear();
        feed.epoch = reply.epoch;
    }
    else if (reply.gap)
    {
        // Evictions may have been missed, so nothing in the view is certain.
        // The parts that this daemon uses are recorded again with its next
        // calls.
        engine.cache.clear();
        log_read(w, engine, "cache_changes_lost", reply);
    }
    feed.last_change = reply.last_change;
    std::ranges::for_each(reply.changes,
                          [&engine, now = w.now](cache_change const &change)
                          { engine.cache.apply_change(change, now); });
}

void handle_reply(world &w, cache_read_reply const &reply)
{
    ++w.proxy.metrics.cache_reads[reply.answered ? "answered" : "failed"];
    auto *engine = w.proxy.instances.find(reply.instance);
    if (engine == nullptr)
    {
        return;
    }
    engine->cache_feed.in_flight = false;
    if (!reply.answered)
    {
        handle_failure(w, *engine, reply);
        return;
    }
    apply_changes(w, *engine, reply);
}

void read_cache(world &w, instance_state &engine)
{
    auto &feed = engine.cache_feed;
    if (feed.in_flight || !engine.definition.accepts_work ||
        w.proxy.is_leaving(engine.definition))
    {
        return;
    }
    bool const limited =
        w.proxy.within_limit_from(engine.definition, w.now) != instant{};
    if (limited)
    {
        feed.next_read = std::max(feed.next_read, w.now + read_interval(w));
    }
    feed.next_read =
        std::max(feed.next_read, w.proxy.paused_until(engine.definition));
    if (feed.next_read > w.now)
    {
        wake_at(w, feed.next_read);
        return;
    }
    cache_read read;
    read.instance = engine.definition.id;
    read.address = engine.definition.address;
    read.after_change = feed.last_change;
    read.timeout = read_timeout;
    // Jitter spreads the reads of all engines and daemons over the interval.
    feed.next_read = w.now + from_seconds(to_seconds(read_interval(w)) *
                                          (0.75 + 0.5 * w.random.uniform()));
    feed.in_flight = true;
    w.out.cache_reads.push_back(std::move(read));
    wake_at(w, feed.next_read);
}

} // namespace

bool polls_caches(world const &w)
{
    return read_interval(w) <= max_read_interval;
}

void poll_caches(world &w)
{
    std::ranges::for_each(w.in.cache_read_replies,
                          [&w](cache_read_reply const &reply)
                          { handle_reply(w, reply); });
    if (!polls_caches(w))
    {
        return;
    }
    for (auto &[id, engine] : w.proxy.instances.all())
    {
        if (engine.definition.role != engine_role::mixed)
        {
            read_cache(w, engine);
        }
    }
}

} // namespace agateledge
