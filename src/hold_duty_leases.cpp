#include "hold_duty_leases.hpp"

#include "backoff_delay.hpp"
#include "count_usage.hpp"
#include "duty_state.hpp"
#include "exchange_topology.hpp"
#include "log_proxied_request.hpp"
#include "rendezvous_rank.hpp"
#include "world.hpp"

#include "absl/strings/match.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

/// Difference of clock rates and duration of a tick that are allowed for.
constexpr duration authority_margin = milliseconds(250);
/// Maximum time from the check of the authority until a call arrives.
constexpr duration arrival_margin = milliseconds(100);
/// Several renewals fit into the time to live, so that one lost answer of the
/// store does not end the authority.
constexpr duration renew_interval = milliseconds(700);
constexpr duration operation_timeout = seconds(1);
constexpr duration backoff_base = milliseconds(150);
constexpr duration max_holder_backoff = milliseconds(400);
constexpr duration max_observer_backoff = seconds(3);
/// Interval at which a holder announces its leases.
constexpr duration notice_interval = milliseconds(500);
/// Difference between the takeover times of two ranks; exceeds the time of a
/// takeover and its announcement.
constexpr duration rank_delay = milliseconds(300);
constexpr std::size_t max_delayed_rank = 10;
/// Additional delay of a daemon that holds the other duty.
constexpr duration second_duty_delay = milliseconds(1500);
constexpr duration rank_interval = milliseconds(500);
constexpr std::size_t max_attempts_kept = 8;
/// Bits of a fencing token below the era; exceeds the number of takeovers
/// within one era.
constexpr int era_shift = 24;
/// Rows that a takeover removes; a transaction has at most 100 entries.
constexpr std::size_t max_removed_fences = 20;

std::string lease_key(duty item)
{
    return "lease/" + std::string(name_of(item));
}

std::string fence_prefix(duty item)
{
    return "fence/" + std::string(name_of(item)) + "/";
}

std::string fence_key(world const &w, duty item)
{
    return fence_prefix(item) + std::to_string(w.proxy.duties->era);
}

fencing_number first_fencing(std::uint64_t era)
{
    return fencing_number(era << era_shift);
}

bool is_assigned(world const &w, duty item)
{
    auto const &settings = w.proxy.limits.duties;
    switch (item)
    {
    case duty::report_usage:
        return settings.reports_usage;
    case duty::order_capacity:
        return settings.orders_capacity;
    case duty::assign_roles:
        break;
    }
    // With few daemons a change of roles gains little for its lease.
    return settings.assigns_roles && !is_mesh(w);
}

void log_lease(world &w, duty_lease const &lease, std::string event)
{
    log_proxied_request(w, log_level::info, std::move(event),
                        {{"duty", std::string(name_of(lease.item))},
                         {"holder", lease.row.holder},
                         {"fencing", std::to_string(lease.row.fencing.value())},
                         {"row_version", std::to_string(lease.version)}});
}

/// Forgets what is known of the rows: the store has lost some seconds of its
/// history and reuses versions.
void raise_era(world &w, std::uint64_t era)
{
    auto &duties = *w.proxy.duties;
    if (era <= duties.era)
    {
        return;
    }
    duties.era = era;
    for (auto &lease : duties.leases)
    {
        lease.observed = false;
        lease.fence_version = 0;
        lease.next_action = w.now;
    }
}

void send(world &w, duty_lease &lease, lease_step step, row_transaction item)
{
    auto &duties = *w.proxy.duties;
    lease.step = step;
    lease.operation = ++duties.last_operation;
    lease.operation_sent_at = w.now;
    lease.operation_era = duties.era;
    item.operation = lease.operation;
    item.owner = row_owner::lease;
    item.timeout = operation_timeout;
    w.out.row_transactions.push_back(
        std::make_shared<row_transaction const>(std::move(item)));
}

void send_read(world &w, duty_lease &lease)
{
    row_transaction item;
    item.conditions = {{fence_prefix(lease.item), 0},
                       {fence_key(w, lease.item), 0},
                       {lease_key(lease.item), 0}};
    send(w, lease, lease_step::reading, std::move(item));
}

lease_row next_row(world const &w, duty_lease const &lease)
{
    lease_row row;
    row.holder = w.identity.name;
    row.incarnation = w.identity.incarnation;
    row.fencing = lease.row.fencing;
    row.time_to_live = duty_time_to_live;
    row.attempt = w.identity.name + ":" +
                  std::to_string(w.identity.incarnation.value()) + ":" +
                  std::to_string(w.proxy.duties->last_operation + 1);
    return row;
}

void add_rows(duty_lease &lease, lease_row const &row, row_transaction &item)
{
    auto &rows = lease.rows;
    if (!rows || rows->progress != duty_rows_progress::waiting)
    {
        return;
    }
    rows->progress = duty_rows_progress::sent;
    rows->attempts.push_back(row.attempt);
    std::ranges::copy(rows->conditions, std::back_inserter(item.conditions));
    std::ranges::copy(rows->puts, std::back_inserter(item.puts));
    item.removes = rows->removes;
}

enum class lease_write
{
    renewal,
    takeover,
    release,
};

void send_write(world &w, duty_lease &lease, lease_row const &row,
                instant acts_from, lease_write kind)
{
    if (lease.attempts.size() >= max_attempts_kept)
    {
        lease.attempts.erase(lease.attempts.begin());
    }
    lease.attempts.push_back(
        {{row.attempt, w.now}, w.proxy.duties->era, acts_from});
    row_transaction item;
    item.conditions = {{lease_key(lease.item), lease.version}};
    item.puts = {{lease_key(lease.item), lease_row_to_text(row)}};
    if (kind == lease_write::renewal)
    {
        add_rows(lease, row, item);
    }
    if (kind == lease_write::takeover)
    {
        auto const fence = fence_key(w, lease.item);
        item.conditions.push_back({fence, lease.fence_version});
        item.puts.push_back({fence, lease_row_to_text(row)});
        item.removes = lease.old_fences;
    }
    lease.sent_row = row;
    send(w, lease, lease_step::writing, std::move(item));
}

/// @return true when the daemon holds the lease by a write of the store's
///         present era
bool holds_in_era(duty_state const &duties, duty_lease const &lease)
{
    return lease.held && lease.row.fencing >= first_fencing(duties.era);
}

/// @return true when the row states that its holder has stopped, and the holder
///         cannot have acted since this daemon heard of it
bool was_released(duty_lease const &lease)
{
    return lease.row.holder.empty() && lease.version != 0 &&
           lease.changed_in_era;
}

/// @return the time after which the holder that the row names, or one that a
///         lost version of the row named, cannot act
instant former_authority_end(duty_lease const &lease)
{
    return was_released(lease) ? lease.observed_at
                               : lease.observed_at + duty_time_to_live;
}

void send_takeover(world &w, duty_lease &lease)
{
    auto const &duties = *w.proxy.duties;
    auto row = next_row(w, lease);
    auto const highest = std::max(lease.highest_fencing, lease.row.fencing);
    row.fencing = std::max(fencing_number(highest.value() + 1),
                           first_fencing(duties.era));
    auto const lease_time = w.proxy.limits.duties.lease_time;
    auto acts_from = former_authority_end(lease) + lease_time;
    if (lease.held)
    {
        // Another daemon can have acted in the history that the store lost,
        // except while this one had authority throughout.
        acts_from = w.now < lease.authority_until
                        ? lease.acts_from
                        : w.now + duty_time_to_live + lease_time;
    }
    send_write(w, lease, row, acts_from, lease_write::takeover);
}

void send_release(world &w, duty_lease &lease)
{
    log_lease(w, lease, "duty_lease_released");
    lease.held = false;
    lease.release_sent = true;
    auto row = next_row(w, lease);
    row.holder.clear();
    send_write(w, lease, row, instant::max(), lease_write::release);
    w.proxy.duties->next_notice = w.now;
}

instant takeover_time(world const &w, duty_lease const &lease)
{
    auto const &duties = *w.proxy.duties;
    bool const busy =
        std::ranges::any_of(duties.leases, [&lease](duty_lease const &other)
                            { return other.held && other.item != lease.item; });
    auto const rank = static_cast<int>(std::min(lease.rank, max_delayed_rank));
    return former_authority_end(lease) + rank * rank_delay +
           (busy ? second_duty_delay : duration(0));
}

void extend_authority(world &w, duty_lease &lease)
{
    auto const attempt = std::ranges::find(lease.attempts, lease.row.attempt,
                                           [](duty_attempt const &item)
                                           { return item.write.id; });
    bool const known =
        attempt != lease.attempts.end() && attempt->era == w.proxy.duties->era;
    if (!std::exchange(lease.held, true))
    {
        lease.acts_from =
            w.now + duty_time_to_live + w.proxy.limits.duties.lease_time;
        log_lease(w, lease, "duty_lease_taken");
        w.proxy.duties->next_notice = w.now;
    }
    lease.next_action = w.now;
    if (known)
    {
        lease.acts_from = attempt->acts_from;
        lease.authority_until = std::max(
            lease.authority_until,
            attempt->write.sent_at + duty_time_to_live - authority_margin);
        lease.next_action = attempt->write.sent_at + renew_interval;
        lease.attempts.erase(lease.attempts.begin(), attempt + 1);
    }
}

void lose_lease(world &w, duty_lease &lease)
{
    if (std::exchange(lease.held, false))
    {
        lease.authority_until = instant{};
        lease.rows.reset();
        log_lease(w, lease, "duty_lease_lost");
    }
}

void observe_row(world &w, duty_lease &lease, lease_row row,
                 std::uint64_t version)
{
    if (!lease.observed || version != lease.version)
    {
        lease.changed_in_era = lease.observed;
        lease.observed_at = w.now;
    }
    lease.observed = true;
    lease.version = version;
    lease.row = std::move(row);
    lease.highest_fencing = std::max(lease.highest_fencing, lease.row.fencing);
    lease.next_action = w.now;
    bool const held_here = lease.row.holder == w.identity.name &&
                           lease.row.incarnation == w.identity.incarnation;
    if (held_here && !lease.release_sent)
    {
        extend_authority(w, lease);
        return;
    }
    lose_lease(w, lease);
    if (lease.release_sent)
    {
        w.proxy.duties->next_notice = w.now;
    }
}

/// Finds out whether the write of the rows that were sent with a renewal took
/// effect, which it did if the lease's row has the id of that write.
void resolve_rows(duty_lease &lease, row_transaction_reply const &reply)
{
    auto &rows = lease.rows;
    if (!rows || rows->progress != duty_rows_progress::sent)
    {
        return;
    }
    if (std::ranges::count(rows->attempts, lease.row.attempt) != 0)
    {
        rows->progress = duty_rows_progress::committed;
        return;
    }
    rows->progress = duty_rows_progress::waiting;
    bool const differs = std::ranges::any_of(
        rows->conditions,
        [&reply](row_condition const &condition)
        {
            auto const row =
                std::ranges::find(reply.rows, condition.key, &stored_row::key);
            return row != reply.rows.end() && row->version != condition.version;
        });
    if (reply.outcome == row_transaction_outcome::conflict && differs)
    {
        rows->progress = duty_rows_progress::conflict;
        rows->current = reply.rows;
    }
}

void handle_failure(world &w, duty_lease &lease)
{
    ++lease.failures;
    auto const max_delay =
        lease.held ? max_holder_backoff : max_observer_backoff;
    lease.next_action = w.now + backoff_delay(w.random, lease.failures,
                                              backoff_base, max_delay);
}

void read_fences(world const &w, duty_lease &lease,
                 row_transaction_reply const &reply)
{
    auto const key = fence_key(w, lease.item);
    auto const prefix = fence_prefix(lease.item);
    lease.old_fences.clear();
    for (auto const &row : reply.rows)
    {
        if (row.key == key)
        {
            lease.fence_version = row.version;
            lease.highest_fencing = std::max(
                lease.highest_fencing, lease_row_from_text(row.value).fencing);
        }
        else if (absl::StartsWith(row.key, prefix) && row.version != 0 &&
                 lease.old_fences.size() < max_removed_fences)
        {
            lease.old_fences.push_back(row.key);
        }
    }
}

void handle_rows(world &w, duty_lease &lease,
                 row_transaction_reply const &reply)
{
    auto const found =
        std::ranges::find(reply.rows, lease_key(lease.item), &stored_row::key);
    if (found == reply.rows.end())
    {
        handle_failure(w, lease);
        return;
    }
    read_fences(w, lease, reply);
    observe_row(w, lease, lease_row_from_text(found->value), found->version);
    resolve_rows(lease, reply);
}

/// @return true when the reply's versions belong to the era that was known when
///         the operation was sent and that is still the newest known one
bool is_trusted(world const &w, duty_lease const &lease,
                row_transaction_reply const &reply)
{
    return reply.store_era == lease.operation_era &&
           w.proxy.duties->era == lease.operation_era;
}

/// A write whose reply is of another era may have been lost or have replaced
/// another row than the one that its condition meant.
void handle_untrusted(world &w, duty_lease &lease,
                      row_transaction_reply const &reply)
{
    lease.observed = false;
    if (reply.store_era < lease.operation_era)
    {
        handle_failure(w, lease);
        return;
    }
    send_read(w, lease);
}

void handle_reply(world &w, duty_lease &lease,
                  row_transaction_reply const &reply)
{
    if (reply.operation != lease.operation || lease.step == lease_step::idle)
    {
        return;
    }
    auto const step = std::exchange(lease.step, lease_step::idle);
    bool const has_result =
        reply.outcome == row_transaction_outcome::committed ||
        reply.outcome == row_transaction_outcome::conflict;
    if (!has_result)
    {
        handle_failure(w, lease);
        return;
    }
    if (!is_trusted(w, lease, reply))
    {
        handle_untrusted(w, lease, reply);
        return;
    }
    lease.failures = 0;
    if (step == lease_step::reading ||
        reply.outcome == row_transaction_outcome::conflict)
    {
        handle_rows(w, lease, reply);
        return;
    }
    if (lease.sent_row.fencing > lease.highest_fencing)
    {
        lease.fence_version = reply.version;
        lease.old_fences.clear();
    }
    observe_row(w, lease, lease.sent_row, reply.version);
    resolve_rows(lease, reply);
}

void accept_notice(world &w, duty_lease &lease, lease_notice const &notice)
{
    raise_era(w, notice.era);
    auto const &duties = *w.proxy.duties;
    bool const newer = notice.era == duties.era &&
                       (!lease.observed || notice.version > lease.version);
    // The reply to a read or write in progress may be older than the notice.
    bool const usable = newer && notice.holder != w.identity.name &&
                        lease.step == lease_step::idle;
    if (!usable)
    {
        return;
    }
    lease_row row;
    row.holder = notice.holder;
    row.incarnation = incarnation_number(notice.incarnation);
    row.fencing = fencing_number(notice.fencing);
    row.time_to_live = duty_time_to_live;
    lease.failures = 0;
    lease.fence_version = notice.fence_version;
    observe_row(w, lease, std::move(row), notice.version);
}

void accept_notices(world &w)
{
    auto &duties = *w.proxy.duties;
    for (auto const &report : w.in.usage_snapshots)
    {
        if (report->leases.empty() ||
            !w.proxy.daemons.contains(report->sender) ||
            report->sender == w.identity.name)
        {
            continue;
        }
        for (auto const &notice : report->leases)
        {
            if (notice.item < duty_count)
            {
                accept_notice(w, duties.leases.at(notice.item), notice);
            }
        }
    }
}

void send_notices(world &w)
{
    auto &duties = *w.proxy.duties;
    if (duties.next_notice > w.now)
    {
        wake_at(w, duties.next_notice);
        return;
    }
    duties.next_notice = w.now + notice_interval;
    wake_at(w, duties.next_notice);
    usage_snapshot out;
    for (auto const &lease : duties.leases)
    {
        bool const known = lease.observed && lease.step != lease_step::writing;
        if (known && (holds_in_era(duties, lease) || lease.release_sent))
        {
            out.leases.push_back(
                {static_cast<std::uint8_t>(lease.item), lease.row.holder,
                 lease.row.incarnation.value(), lease.row.fencing.value(),
                 lease.version, duties.era, lease.fence_version});
        }
    }
    peer_report<usage_snapshot> send;
    send.to = addresses_of(w, all_peers(w));
    if (out.leases.empty() || send.to.empty())
    {
        return;
    }
    out.sender = w.identity.name;
    out.incarnation = w.identity.incarnation.value();
    out.sequence = ++duties.sequence;
    out.closed = duties.closed();
    if (duties.lease(duty::report_usage).held)
    {
        out.wall_time = wall_time(w).value_or(duration());
    }
    send.report = std::make_shared<usage_snapshot const>(std::move(out));
    w.out.usage_snapshots.push_back(std::move(send));
}

bool rows_wait(duty_lease const &lease)
{
    return lease.rows && lease.rows->progress == duty_rows_progress::waiting;
}

instant next_action(world const &w, duty_lease const &lease)
{
    if (lease.step != lease_step::idle)
    {
        return lease.operation_sent_at + operation_timeout;
    }
    if (lease.held && lease.failures == 0 && rows_wait(lease))
    {
        return w.now;
    }
    if (lease.held || lease.failures > 0 || !lease.observed)
    {
        return lease.next_action;
    }
    return std::max(lease.next_action, takeover_time(w, lease));
}

void send_next(world &w, duty_lease &lease)
{
    if (!lease.observed || lease.failures > 0)
    {
        send_read(w, lease);
    }
    else if (!lease.held || !holds_in_era(*w.proxy.duties, lease))
    {
        send_takeover(w, lease);
    }
    else
    {
        send_write(w, lease, next_row(w, lease), lease.acts_from,
                   lease_write::renewal);
    }
}

void update_ranks(world &w)
{
    auto &duties = *w.proxy.duties;
    if (duties.next_rank > w.now)
    {
        return;
    }
    duties.next_rank = w.now + rank_interval;
    for (auto &lease : duties.leases)
    {
        auto const names = duty_ranking(w, lease.item);
        lease.rank = static_cast<std::size_t>(
            std::ranges::find(names, w.identity.name) - names.begin());
    }
}

void advance_lease(world &w, duty_lease &lease)
{
    if (lease.step != lease_step::idle &&
        w.now - lease.operation_sent_at >= operation_timeout)
    {
        lease.step = lease_step::idle;
        handle_failure(w, lease);
    }
    if (w.proxy.stopping_since)
    {
        if (lease.held && lease.step == lease_step::idle)
        {
            send_release(w, lease);
        }
        return;
    }
    if (!is_assigned(w, lease.item))
    {
        return;
    }
    if (lease.step == lease_step::idle && w.now >= next_action(w, lease))
    {
        send_next(w, lease);
    }
    wake_at(w, next_action(w, lease));
}

} // namespace

bool has_duties(world const &w)
{
    auto const &settings = w.proxy.limits.duties;
    bool const calls_platform =
        !settings.platform_address.empty() &&
        (settings.reports_usage || settings.orders_capacity);
    return calls_platform || settings.assigns_roles;
}

duty_state &duties_of(world &w)
{
    auto &duties = w.proxy.duties;
    if (!duties)
    {
        duties = std::make_shared<duty_state>();
        duties->lease(duty::order_capacity).item = duty::order_capacity;
        duties->lease(duty::assign_roles).item = duty::assign_roles;
    }
    return *duties;
}

std::string_view name_of(duty item)
{
    switch (item)
    {
    case duty::report_usage:
        return "usage";
    case duty::order_capacity:
        return "capacity";
    case duty::assign_roles:
        break;
    }
    return "roles";
}

std::vector<std::string> duty_ranking(world const &w, duty item)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    auto const key = lease_key(item);
    for (auto const &[name, peer] : w.proxy.daemons)
    {
        if (name != w.identity.name && !peer.address.empty())
        {
            ranked.emplace_back(rendezvous_weight(key, name), name);
        }
    }
    ranked.emplace_back(rendezvous_weight(key, w.identity.name),
                        w.identity.name);
    std::ranges::sort(ranked, std::greater<>());
    std::vector<std::string> out;
    std::ranges::transform(ranked, std::back_inserter(out),
                           [](auto const &entry) { return entry.second; });
    if (item == duty::order_capacity && out.size() > 1 &&
        out.front() == duty_ranking(w, duty::report_usage).front())
    {
        std::rotate(out.begin(), out.begin() + 1, out.end());
    }
    return out;
}

std::optional<duty_authority> authority_over(world const &w, duty item)
{
    if (!w.proxy.duties || w.proxy.stopping_since)
    {
        return std::nullopt;
    }
    auto const &duties = *w.proxy.duties;
    auto const &lease = duties.lease(item);
    auto const valid_until = lease.authority_until - arrival_margin;
    bool const valid = holds_in_era(duties, lease) &&
                       w.now >= lease.acts_from && w.now < valid_until;
    if (!valid)
    {
        return std::nullopt;
    }
    return duty_authority{lease.row.fencing.value(), valid_until};
}

void hold_duty_leases(world &w)
{
    if (!has_duties(w))
    {
        return;
    }
    auto &duties = duties_of(w);
    raise_era(w, w.proxy.store.era);
    update_ranks(w);
    accept_notices(w);
    for (auto const &reply : w.in.row_transaction_replies)
    {
        raise_era(w, reply->store_era);
        if (reply->owner == row_owner::lease)
        {
            std::ranges::for_each(duties.leases, [&](duty_lease &lease)
                                  { handle_reply(w, lease, *reply); });
        }
    }
    std::ranges::for_each(duties.leases,
                          [&w](duty_lease &lease) { advance_lease(w, lease); });
    send_notices(w);
}

} // namespace agateledge
