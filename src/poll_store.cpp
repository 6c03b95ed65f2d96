#include "poll_store.hpp"

#include "follow_store_era.hpp"
#include "log_proxied_request.hpp"
#include "poll_schedule.hpp"
#include "share_store_reads.hpp"
#include "store_view_state.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Longest back-off after failed reads. It and the timeout of a retried read
/// together must stay below the time within which a daemon must have caught up
/// after an outage of the store.
constexpr duration max_backoff = milliseconds(800);

/// The longest back-off of the instances, whose age is bounded, and of a table
/// that has not been read whole yet. With the
/// random factor, it and the timeout of a retried read end 1.5 s after the
/// store answers again, so that the daemons of a fleet that starts meanwhile
/// serve within 2 s. 300 daemons that are refused then make at most 3,000 calls
/// a second, half of what the store takes.
constexpr duration max_short_backoff = milliseconds(300);

/// Lateness of the main loop that does not fail a read: much less than the
/// shortest timeout of one.
constexpr duration max_ordinary_lateness = milliseconds(100);

table_poll_state &poll_state_of(world &w, polled_table table)
{
    return w.proxy.table_polls.at(static_cast<std::size_t>(table));
}

poll_schedule schedule_of(world &w, polled_table table)
{
    auto const &store = w.proxy.store;
    bool const restored =
        in_era_grace(w) ||
        (store.failed_at && w.now < store.restored_at + missing_row_grace);
    return poll_schedule_of(w.proxy, table, restored);
}

duration backoff(world &w, polled_table table,
                 table_poll_state const &poll_state)
{
    auto const exponential =
        initial_read_backoff * (1 << std::min(poll_state.failures - 1, 5));
    auto const capped = std::min(
        exponential, poll_state.fully_read && table != polled_table::instances
                         ? max_backoff
                         : max_short_backoff);
    auto const factor =
        min_backoff_factor +
        (max_backoff_factor - min_backoff_factor) * w.random.uniform();
    return from_seconds(to_seconds(capped) * factor);
}

void record_reachability(world &w, bool reachable, row_read_reply const &reply)
{
    auto &store = w.proxy.store;
    auto const sent_at =
        store_view_of(w).read_sent_at.at(static_cast<std::size_t>(reply.table));
    if (reachable)
    {
        store.answered_at = w.now;
    }
    else if (store.known && sent_at < store.answered_at)
    {
        // The store has answered since, so that its return is known already.
        return;
    }
    else
    {
        store.failed_at = w.now;
        store.away_at = std::max(store.away_at, sent_at);
    }
    if (std::exchange(store.known, true) && store.reachable == reachable)
    {
        return;
    }
    store.reachable = reachable;
    store.changed_at = w.now;
    if (reachable)
    {
        store.restored_at = w.now;
    }
    log_proxied_request(w, reachable ? log_level::info : log_level::warning,
                        reachable ? "store_reachable" : "store_unreachable",
                        {{"status", std::to_string(reply.status)},
                         {"outcome", std::string(name_of(reply.outcome))},
                         {"table", std::string(name_of(reply.table))},
                         {"fault", reply.fault}});
}

void handle_failure(world &w, table_poll_state &poll_state,
                    row_read_reply const &reply)
{
    ++poll_state.failures;
    auto const delay =
        store_view_of(w).read_delays.at(static_cast<std::size_t>(reply.table));
    poll_state.timely_failures += delay == duration(0) ? 1 : 0;
    poll_state.next_read = w.now + backoff(w, reply.table, poll_state);
    record_reachability(w, false, reply);
}

/// Reads the table whole at once: the store answers, and the changes that it no
/// longer has are not known yet.
void handle_lost_history(world &w, table_poll_state &poll_state,
                         row_read_reply const &reply)
{
    poll_state.needs_full_read = true;
    poll_state.after_key.clear();
    poll_state.failures = 0;
    poll_state.timely_failures = 0;
    poll_state.next_read = w.now;
    record_reachability(w, true, reply);
    log_proxied_request(
        w, log_level::warning, "history_lost",
        {{"table", std::string(name_of(reply.table))},
         {"after_version", std::to_string(poll_state.version)}});
}

void handle_rows(world &w, table_poll_state &poll_state,
                 row_read_reply const &reply)
{
    record_reachability(w, true, reply);
    record_store_answer(w, reply, poll_state.version);
    poll_state.failures = 0;
    poll_state.timely_failures = 0;
    if (reply.full && poll_state.after_key.empty())
    {
        poll_state.first_page_version = reply.version;
    }
    if (reply.full && reply.truncated)
    {
        poll_state.after_key = reply.last_key;
        poll_state.next_read = w.now;
        return;
    }
    if (reply.full)
    {
        poll_state.version =
            std::max(poll_state.version, poll_state.first_page_version);
        poll_state.needs_full_read = false;
        poll_state.after_key.clear();
        poll_state.fully_read = true;
    }
    else
    {
        poll_state.version = std::max(poll_state.version, reply.version);
    }
    // The table is as old as the start of the read.
    auto const sent_at =
        store_view_of(w).read_sent_at.at(static_cast<std::size_t>(reply.table));
    poll_state.next_read =
        std::max(w.now, sent_at + schedule_of(w, reply.table).interval);
}

void handle_reply(world &w, row_read_reply &reply)
{
    auto &poll_state = poll_state_of(w, reply.table);
    poll_state.in_flight = false;
    ++w.proxy.metrics.store_calls[std::string(name_of(reply.outcome))];
    follow_store_era(w, reply.store_era);
    if (is_of_older_era(w, reply))
    {
        // The later passes must not use the rows either. The reads have begun
        // anew, so this is no failure of the store.
        reply.outcome = row_outcome::failed;
        reply.fault = "the reply belongs to an older era of the store";
        poll_state.next_read = w.now;
        return;
    }
    if (reply.outcome == row_outcome::answered && poll_state.fully_read &&
        is_older_answer(w, reply))
    {
        reply.outcome = row_outcome::failed;
        reply.fault = "the answer is older than what was known before the read";
    }
    if (reply.outcome == row_outcome::answered)
    {
        handle_rows(w, poll_state, reply);
        return;
    }
    // Only a read of changes can meet a lost history.
    if (reply.outcome == row_outcome::history_lost && !reply.full)
    {
        handle_lost_history(w, poll_state, reply);
        return;
    }
    handle_failure(w, poll_state, reply);
}

void read_table(world &w, polled_table table)
{
    auto &poll_state = poll_state_of(w, table);
    if (poll_state.in_flight)
    {
        return;
    }
    auto const schedule = schedule_of(w, table);
    auto const due =
        std::max(poll_state.next_read, shared_until(w, table, schedule.interval,
                                                    schedule.long_poll_wait));
    if (due > w.now)
    {
        wake_at(w, due);
        return;
    }
    row_read read;
    read.table = table;
    read.full = poll_state.needs_full_read;
    read.after_key = poll_state.after_key;
    read.after_version = poll_state.version;
    bool const retrying = poll_state.failures > 0;
    bool const has_changed = table == polled_table::configuration &&
                             awaits_first_read_of_announced(w);
    read.long_poll_wait = poll_state.needs_full_read || retrying || has_changed
                              ? duration(0)
                              : schedule.long_poll_wait;
    read.timeout =
        read.long_poll_wait + read_timeout_of(table, poll_state.failures);
    poll_state.in_flight = true;
    record_store_read(w, read);
    w.out.row_reads.push_back(read);
}

void renew_daemon_row(world &w)
{
    auto &proxy = w.proxy;
    if (proxy.stopping_since)
    {
        return;
    }
    if (proxy.next_daemon_row <= w.now)
    {
        proxy.next_daemon_row = w.now + daemon_row_interval(proxy);
        w.out.daemon_row_writes.push_back({w.identity.name, false,
                                           proxy.peer_address,
                                           w.identity.data_centre});
    }
    wake_at(w, proxy.next_daemon_row);
}

} // namespace

void poll_store(world &w)
{
    auto &view = store_view_of(w);
    if (w.lateness > max_ordinary_lateness)
    {
        std::ranges::for_each(view.read_delays,
                              [&w](duration &delay) { delay += w.lateness; });
    }
    follow_store_era(w, view.written_era);
    std::ranges::for_each(w.in.row_read_replies, [&w](row_read_reply &reply)
                          { handle_reply(w, reply); });
    read_table(w, polled_table::configuration);
    read_table(w, polled_table::instances);
    read_table(w, polled_table::daemons);
    renew_daemon_row(w);
}

} // namespace agateledge
