#include "apply_configuration.hpp"

#include "append_configuration_writes.hpp"
#include "backoff_delay.hpp"
#include "configuration_head.hpp"
#include "configuration_json.hpp"
#include "refuse_withdrawn_callers.hpp"
#include "rendezvous_rank.hpp"
#include "send_table_call.hpp"
#include "world.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration poll_interval = seconds(1);
/// Age of the last confirmation at which a daemon polls whatever its rank.
constexpr duration unconfirmed_poll_after = seconds(4);
constexpr duration call_timeout = seconds(2);
constexpr duration backoff_base = milliseconds(200);
constexpr duration max_backoff = seconds(3);
/// Minimum time between two fetches, so that a peer can answer before another
/// one is asked.
constexpr duration fetch_interval = milliseconds(500);
constexpr std::size_t pollers_per_data_centre = 2;

void send(world &w, configuration_step step, table_call call)
{
    auto &sync = w.config_sync;
    sync.step = step;
    sync.operation_sent_at = w.now;
    sync.operation =
        send_table_call(w, table_owner::configuration, std::move(call));
}

void read_head(world &w)
{
    w.config_sync.head_read_at = w.now;
    table_call call;
    call.keys.emplace_back(configuration_head_key);
    send(w, configuration_step::reading_head, std::move(call));
}

void read_index(world &w, revision_number revision)
{
    table_call call;
    call.keys.push_back(revision_key(revision));
    send(w, configuration_step::reading_index, std::move(call));
}

void write_first_revision(world &w)
{
    auto first = *w.initial_config;
    first.revision = std::max(first.revision, revision_number(1));
    section_documents documents;
    auto const index = split_configuration(first, documents);
    table_call call;
    call.conditions.push_back({configuration_head_key, 0});
    append_configuration_writes(call, w.config_sync, index, documents,
                                w.identity.name + ":first");
    send(w, configuration_step::writing_first_revision, std::move(call));
}

void handle_head(world &w, table_row const &row)
{
    auto &sync = w.config_sync;
    if (row.version == 0)
    {
        if (w.initial_config)
        {
            write_first_revision(w);
        }
        return;
    }
    auto const head = configuration_head_from_text(row.value);
    if (head.revision > w.config.revision)
    {
        read_index(w, head.revision);
        return;
    }
    if (head.revision == w.config.revision)
    {
        confirm_revision(w, sync.head_read_at);
    }
}

void log_damaged_document(world &w, std::string const &key,
                          absl::Status const &status)
{
    w.out.log_entries.push_back(
        {log_level::error,
         "configuration_damaged",
         {{"key", key}, {"reason", status.ToString()}}});
}

/// Puts the pending revision in force and drops cached sections that it does
/// not use.
void apply_pending_revision(world &w)
{
    auto &sync = w.config_sync;
    auto const config = join_configuration(sync.pending, sync.documents);
    if (!config.ok())
    {
        log_damaged_document(w, revision_key(sync.pending.revision),
                             config.status());
        return;
    }
    section_documents used;
    for (auto const &[name, digest] : sync.pending.sections)
    {
        used.emplace(digest, sync.documents.at(digest));
    }
    sync.documents = std::move(used);
    sync.stored = std::move(sync.pending);
    if (activate_configuration(w, *config))
    {
        confirm_revision(w, sync.head_read_at);
    }
}

void handle_index(world &w, table_row const &row)
{
    auto &sync = w.config_sync;
    auto index = configuration_index_from_json(row.value);
    if (!index.ok())
    {
        log_damaged_document(w, row.key, index.status());
        return;
    }
    sync.pending = *std::move(index);
    table_call call;
    for (auto const &[name, digest] : sync.pending.sections)
    {
        if (!sync.documents.contains(digest))
        {
            call.keys.push_back(section_key(digest));
        }
    }
    if (call.keys.empty())
    {
        apply_pending_revision(w);
        return;
    }
    send(w, configuration_step::reading_sections, std::move(call));
}

void handle_sections(world &w, std::vector<table_row> const &rows)
{
    for (auto const &row : rows)
    {
        auto const digest = section_digest(row.value);
        w.config_sync.documents.insert_or_assign(
            digest, std::make_shared<std::string const>(row.value));
    }
    apply_pending_revision(w);
}

void back_off(world &w)
{
    auto &sync = w.config_sync;
    ++sync.failures;
    sync.next_poll = w.now + backoff_delay(w.random, sync.failures,
                                           backoff_base, max_backoff);
}

void handle_reply(world &w, table_reply const &reply)
{
    auto &sync = w.config_sync;
    if (reply.operation != sync.operation ||
        sync.step == configuration_step::idle)
    {
        return;
    }
    auto const step = std::exchange(sync.step, configuration_step::idle);
    if (step == configuration_step::writing_first_revision)
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
        handle_head(w, reply.rows.at(0));
    }
    if (step == configuration_step::reading_index)
    {
        handle_index(w, reply.rows.at(0));
    }
    if (step == configuration_step::reading_sections)
    {
        handle_sections(w, reply.rows);
    }
}

void apply_peer_document(world &w, configuration_document const &document)
{
    auto const config = configuration_from_json(document.document);
    if (!config.ok() || !activate_configuration(w, *config))
    {
        return;
    }
    if (document.revision_age_us >= 0)
    {
        confirm_revision(w, w.config_sync.fetch_sent_at -
                                duration(document.revision_age_us));
    }
}

void fetch_revision(world &w, heartbeat const &message)
{
    if (w.now < w.config_sync.next_fetch)
    {
        return;
    }
    w.config_sync.next_fetch = w.now + fetch_interval;
    w.config_sync.fetch_sent_at = w.now;
    if (w.config_sync.failures == 0)
    {
        // Prefer the table service: it holds a revision in sections, of which
        // kilobytes have to be read; a peer sends the full document, which is
        // megabytes.
        if (w.config_sync.step == configuration_step::idle)
        {
            read_head(w);
        }
        return;
    }
    w.out.configuration_fetches.push_back({message.from, message.address});
}

void handle_heartbeat(world &w, heartbeat const &message)
{
    if (message.revision > w.config.revision)
    {
        fetch_revision(w, message);
    }
}

bool should_poll(world const &w)
{
    auto const &confirmed = w.config_sync.confirmed_at;
    return !confirmed || w.now - *confirmed >= unconfirmed_poll_after ||
           rendezvous_rank(w, "config") < pollers_per_data_centre;
}

void poll_table_service(world &w)
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
        if (should_poll(w))
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

void apply_initial_configuration(world &w, configuration initial)
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

bool activate_configuration(world &w, configuration const &config)
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
    auto const revision_before = w.config.revision;
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::configuration)
        {
            handle_reply(w, reply);
        }
    }
    for (auto const &document : w.in.configuration_documents)
    {
        apply_peer_document(w, document);
    }
    std::ranges::for_each(w.in.heartbeats, [&w](heartbeat const &message)
                          { handle_heartbeat(w, message); });
    if (w.config.revision != revision_before)
    {
        refuse_withdrawn_callers(w);
    }
    poll_table_service(w);
}

} // namespace agateledge
