#include "apply_configuration.hpp"

#include "backoff_delay.hpp"
#include "call_table.hpp"
#include "configuration_head.hpp"
#include "configuration_json.hpp"
#include "rendezvous_rank.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration poll_interval = seconds(1);
/// Age of the last confirmation from which on any daemon polls.
constexpr duration own_poll_after = seconds(4);
constexpr duration call_timeout = seconds(2);
constexpr duration backoff_base = milliseconds(200);
constexpr duration max_backoff = seconds(3);
/// Time for a fetch from a peer before another peer is asked.
constexpr duration fetch_interval = milliseconds(500);
constexpr std::size_t pollers_per_data_centre = 2;

void send(world &w, configuration_step step, table_call call)
{
    auto &sync = w.config_sync;
    sync.step = step;
    sync.operation_sent_at = w.now;
    sync.operation = call_table(w, table_owner::configuration, std::move(call));
}

void read_head(world &w)
{
    w.config_sync.head_read_at = w.now;
    table_call call;
    call.keys.emplace_back(configuration_head_key);
    send(w, configuration_step::reading_head, std::move(call));
}

void read_document(world &w, revision_number revision)
{
    table_call call;
    call.keys.push_back(revision_key(revision));
    send(w, configuration_step::reading_document, std::move(call));
}

void write_first(world &w)
{
    auto first = *w.initial_config;
    first.revision = std::max(first.revision, revision_number(1));
    configuration_head head;
    head.revision = first.revision;
    head.author = first.author;
    head.attempt = w.identity.name + ":first";
    table_call call;
    call.conditions.push_back({configuration_head_key, 0});
    call.puts.push_back(
        {configuration_head_key, configuration_head_to_text(head)});
    call.puts.push_back(
        {revision_key(first.revision), configuration_to_json(first)});
    send(w, configuration_step::writing_first, std::move(call));
}

void take_head(world &w, table_row const &row)
{
    auto &sync = w.config_sync;
    if (row.version == 0)
    {
        if (w.initial_config)
        {
            write_first(w);
        }
        return;
    }
    auto const head = configuration_head_from_text(row.value);
    if (head.revision > w.config.revision)
    {
        read_document(w, head.revision);
        return;
    }
    if (head.revision == w.config.revision)
    {
        confirm_revision(w, sync.head_read_at);
    }
}

void take_document(world &w, table_row const &row)
{
    auto const config = configuration_from_json(row.value);
    if (!config.ok())
    {
        w.out.log_entries.push_back(
            {log_level::error,
             "configuration_damaged",
             {{"key", row.key}, {"reason", config.status().ToString()}}});
        return;
    }
    if (put_in_force(w, *config))
    {
        confirm_revision(w, w.config_sync.head_read_at);
    }
}

void back_off(world &w)
{
    auto &sync = w.config_sync;
    ++sync.failures;
    sync.next_poll = w.now + backoff_delay(w.random, sync.failures,
                                           backoff_base, max_backoff);
}

void take_reply(world &w, table_reply const &reply)
{
    auto &sync = w.config_sync;
    if (reply.operation != sync.operation ||
        sync.step == configuration_step::idle)
    {
        return;
    }
    auto const step = std::exchange(sync.step, configuration_step::idle);
    if (step == configuration_step::writing_first)
    {
        sync.next_poll = w.now;
    }
    if (reply.outcome == table_outcome::unavailable ||
        reply.outcome == table_outcome::unknown)
    {
        back_off(w);
        return;
    }
    sync.failures = 0;
    if (step == configuration_step::reading_head)
    {
        take_head(w, reply.rows.at(0));
    }
    if (step == configuration_step::reading_document)
    {
        take_document(w, reply.rows.at(0));
    }
}

void take_peer_document(world &w, configuration_document const &document)
{
    auto const config = configuration_from_json(document.document);
    if (!config.ok() || !put_in_force(w, *config))
    {
        return;
    }
    if (document.revision_age_us >= 0)
    {
        confirm_revision(w, w.config_sync.fetch_sent_at -
                                duration(document.revision_age_us));
    }
}

void fetch(world &w, heartbeat const &message)
{
    if (w.now < w.config_sync.next_fetch)
    {
        return;
    }
    w.config_sync.next_fetch = w.now + fetch_interval;
    w.config_sync.fetch_sent_at = w.now;
    w.out.configuration_fetches.push_back({message.from, message.address});
}

void take_heartbeat(world &w, heartbeat const &message)
{
    if (message.revision > w.config.revision)
    {
        fetch(w, message);
    }
}

bool must_poll(world const &w)
{
    auto const &confirmed = w.config_sync.confirmed_at;
    return !confirmed || w.now - *confirmed >= own_poll_after ||
           rendezvous_rank(w, "config") < pollers_per_data_centre;
}

void poll(world &w)
{
    auto &sync = w.config_sync;
    if (sync.step != configuration_step::idle)
    {
        if (w.now - sync.operation_sent_at < call_timeout)
        {
            wake_at(w, sync.operation_sent_at + call_timeout);
            return;
        }
        sync.step = configuration_step::idle;
        back_off(w);
    }
    if (w.now >= sync.next_poll)
    {
        sync.next_poll = w.now + poll_interval;
        if (must_poll(w))
        {
            read_head(w);
        }
    }
    wake_at(w, sync.next_poll);
}

void install(world &w, configuration config)
{
    w.config = std::move(config);
    w.engines.configure(w.config.engines);
    w.endpoints.configure(w.config.endpoints);
    w.candidates.invalidate();
}

} // namespace

void use_initial_configuration(world &w, configuration initial)
{
    w.initial_config = initial;
    initial.revision = revision_number();
    install(w, std::move(initial));
}

bool configuration_pending(world const &w)
{
    auto const &sync = w.config_sync;
    return !sync.confirmed_at &&
           (!sync.started_at ||
            w.now - *sync.started_at <= configuration_stale_after);
}

bool put_in_force(world &w, configuration const &config)
{
    if (config.revision <= w.config.revision &&
        !w.faults.allow_revision_rollback)
    {
        return false;
    }
    install(w, config);
    w.out.log_entries.push_back(
        {log_level::info,
         "configuration_in_force",
         {{"revision", std::to_string(config.revision.value())}}});
    return true;
}

void confirm_revision(world &w, instant when)
{
    auto &confirmed = w.config_sync.confirmed_at;
    confirmed = confirmed ? std::max(*confirmed, when) : when;
}

bool configuration_stale(world const &w)
{
    auto const &confirmed = w.config_sync.confirmed_at;
    return !confirmed || w.now - *confirmed > configuration_stale_after;
}

void apply_configuration(world &w)
{
    if (!w.config_sync.started_at)
    {
        w.config_sync.started_at = w.now;
    }
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::configuration)
        {
            take_reply(w, reply);
        }
    }
    for (auto const &document : w.in.configuration_documents)
    {
        take_peer_document(w, document);
    }
    std::ranges::for_each(w.in.heartbeats, [&w](heartbeat const &message)
                          { take_heartbeat(w, message); });
    poll(w);
}

} // namespace agateledge
