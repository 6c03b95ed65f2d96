#include "renew_leases.hpp"

#include "backoff_delay.hpp"
#include "internal_assert.hpp"
#include "rendezvous_rank.hpp"
#include "send_table_call.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr duration renew_interval = seconds(1);
constexpr duration poll_interval = seconds(1);
/// Poll interval of daemons ranked after the first `fast_observers`. It is
/// shorter than the takeover time, so that no takeover is attempted with an
/// outdated version of the row.
constexpr duration slow_poll_interval = seconds(3);
constexpr std::size_t fast_observers = 2;
/// A holder must retry well within the time to live; an observer may wait
/// longer.
constexpr duration backoff_base = milliseconds(200);
constexpr duration max_holder_backoff = milliseconds(500);
constexpr duration max_observer_backoff = seconds(4);
/// Time after which the outcome of an unanswered operation is unknown.
constexpr duration operation_timeout = seconds(2);
constexpr std::size_t max_attempts_kept = 8;

std::string lease_key(lease_state const &lease)
{
    return "lease/" + lease.data_centre;
}

std::string fence_key(lease_state const &lease)
{
    return "fence/" + lease.data_centre;
}

void log_lease(world &w, lease_state const &lease, std::string event)
{
    w.out.log_entries.push_back(
        {log_level::info,
         std::move(event),
         {{"data_centre", lease.data_centre},
          {"fencing", std::to_string(lease.row.fencing.value())}}});
}

void send(world &w, lease_state &lease, lease_step step, table_call call)
{
    lease.step = step;
    lease.operation_sent_at = w.now;
    lease.operation = send_table_call(w, table_owner::lease, std::move(call));
}

void send_read(world &w, lease_state &lease)
{
    table_call call;
    call.keys = {lease_key(lease), fence_key(lease)};
    send(w, lease, lease_step::reading, std::move(call));
}

lease_row next_row(world &w, lease_state &lease)
{
    lease_row row;
    row.holder = w.identity.name;
    row.incarnation = w.identity.incarnation;
    row.fencing = lease.row.fencing;
    row.time_to_live = lease_time_to_live;
    row.attempt = w.identity.name + ":" +
                  std::to_string(w.identity.incarnation.value()) +
                  ":lease:" + std::to_string(w.last_operation + 1);
    return row;
}

void record_attempt(world &w, lease_state &lease, lease_row const &row)
{
    if (lease.attempts.size() >= max_attempts_kept)
    {
        lease.attempts.erase(lease.attempts.begin());
    }
    lease.attempts.push_back({row.attempt, w.now});
}

void send_renewal(world &w, lease_state &lease)
{
    auto const row = next_row(w, lease);
    record_attempt(w, lease, row);
    table_call call;
    call.conditions.push_back({lease_key(lease), lease.row_version});
    call.puts.push_back({lease_key(lease), lease_row_to_text(row)});
    send(w, lease, lease_step::writing, std::move(call));
}

void send_takeover(world &w, lease_state &lease)
{
    auto row = next_row(w, lease);
    row.fencing = fencing_number(lease.highest_fencing.value() + 1);
    record_attempt(w, lease, row);
    table_call call;
    call.conditions.push_back({lease_key(lease), lease.row_version});
    call.conditions.push_back({fence_key(lease), lease.fence_version});
    call.puts.push_back({lease_key(lease), lease_row_to_text(row)});
    call.puts.push_back({fence_key(lease), lease_row_to_text(row)});
    send(w, lease, lease_step::writing, std::move(call));
}

void send_release(world &w, lease_state &lease)
{
    log_lease(w, lease, "lease_released");
    lease.held = false;
    lease.release_sent = true;
    auto row = next_row(w, lease);
    row.holder.clear();
    table_call call;
    call.conditions.push_back({lease_key(lease), lease.row_version});
    call.puts.push_back({lease_key(lease), lease_row_to_text(row)});
    send(w, lease, lease_step::writing, std::move(call));
}

/// @return the earliest time at which this daemon may take the lease over
instant takeover_time(lease_state const &lease)
{
    if (lease.row.holder.empty())
    {
        return lease.observed_at;
    }
    auto const time_to_live =
        std::max(lease.row.time_to_live, lease_time_to_live);
    return lease.observed_at + time_to_live + lease_margin;
}

void raise_highest_fencing(lease_state &lease, fencing_number fencing)
{
    lease.highest_fencing = std::max(lease.highest_fencing, fencing);
}

/// Starts or extends authority after a row of this daemon was read or written.
void extend_authority(world &w, lease_state &lease)
{
    bool const first = !std::exchange(lease.held, true);
    lease.next_action = w.now;
    auto const attempt = std::ranges::find(lease.attempts, lease.row.attempt,
                                           &lease_attempt::id);
    if (attempt != lease.attempts.end())
    {
        auto const valid_until =
            attempt->sent_at + lease_time_to_live - lease_margin;
        lease.authority_until = std::max(lease.authority_until, valid_until);
        lease.next_action = attempt->sent_at + renew_interval;
        lease.attempts.erase(lease.attempts.begin(), attempt);
    }
    if (first)
    {
        log_lease(w, lease, "lease_taken");
    }
}

void lose_authority(world &w, lease_state &lease)
{
    if (std::exchange(lease.held, false))
    {
        log_lease(w, lease, "lease_lost");
    }
}

void observe_row(world &w, lease_state &lease, table_row const &row)
{
    if (!lease.observed || row.version != lease.row_version)
    {
        lease.observed_at = w.now;
    }
    lease.observed = true;
    lease.row_version = row.version;
    lease.row = lease_row_from_text(row.value);
    bool const held_here = lease.row.holder == w.identity.name &&
                           lease.row.incarnation == w.identity.incarnation;
    if (held_here && !lease.release_sent)
    {
        extend_authority(w, lease);
        return;
    }
    lose_authority(w, lease);
}

void handle_read(world &w, lease_state &lease, table_reply const &reply)
{
    auto const fence = lease_row_from_text(reply.rows.at(1).value);
    lease.fence_version = reply.rows.at(1).version;
    raise_highest_fencing(lease, fence.fencing);
    bool const fast = rendezvous_rank(w, "lease") < fast_observers;
    lease.next_action = w.now + (fast ? poll_interval : slow_poll_interval);
    observe_row(w, lease, reply.rows.front());
    raise_highest_fencing(lease, lease.row.fencing);
}

void handle_commit(world &w, lease_state &lease, table_reply const &reply)
{
    if (reply.rows.size() > 1)
    {
        lease.fence_version = reply.rows.at(1).version;
    }
    observe_row(w, lease, reply.rows.front());
    internal_assert(lease.row.fencing >= lease.highest_fencing,
                    "fencing number of ", lease.data_centre, " decreased from ",
                    lease.highest_fencing.value(), " to ",
                    lease.row.fencing.value());
    raise_highest_fencing(lease, lease.row.fencing);
}

void handle_failure(world &w, lease_state &lease)
{
    ++lease.failures;
    auto const max_delay =
        lease.held ? max_holder_backoff : max_observer_backoff;
    lease.next_action = w.now + backoff_delay(w.random, lease.failures,
                                              backoff_base, max_delay);
}

void handle_reply(world &w, lease_state &lease, table_reply const &reply)
{
    if (reply.operation != lease.operation || lease.step == lease_step::idle)
    {
        return;
    }
    auto const step = std::exchange(lease.step, lease_step::idle);
    switch (reply.outcome)
    {
    case table_outcome::committed:
        lease.failures = 0;
        step == lease_step::reading ? handle_read(w, lease, reply)
                                    : handle_commit(w, lease, reply);
        return;
    case table_outcome::conflict:
        send_read(w, lease);
        return;
    case table_outcome::unknown:
    case table_outcome::unavailable:
        handle_failure(w, lease);
        return;
    }
}

void expire_operation(world &w, lease_state &lease)
{
    if (lease.step != lease_step::idle &&
        w.now - lease.operation_sent_at >= operation_timeout)
    {
        lease.step = lease_step::idle;
        handle_failure(w, lease);
    }
}

void send_next(world &w, lease_state &lease)
{
    if (lease.held && lease.failures == 0)
    {
        send_renewal(w, lease);
        return;
    }
    if (lease.observed && lease.failures == 0 && w.now >= takeover_time(lease))
    {
        send_takeover(w, lease);
        return;
    }
    send_read(w, lease);
}

instant next_action(lease_state const &lease)
{
    if (lease.step != lease_step::idle)
    {
        return lease.operation_sent_at + operation_timeout;
    }
    if (lease.held || !lease.observed || lease.failures > 0)
    {
        return lease.next_action;
    }
    return std::min(lease.next_action, takeover_time(lease));
}

void drain(world &w, lease_state &lease)
{
    if (lease.held && lease.step == lease_step::idle)
    {
        send_release(w, lease);
    }
    if (lease.step != lease_step::idle)
    {
        wake_at(w, next_action(lease));
    }
}

} // namespace

bool authority_is_valid(lease_state const &lease, instant now)
{
    return lease.held && now < lease.authority_until;
}

bool holds_authority(world const &w, std::string const &data_centre)
{
    auto const *lease = w.leases.find(data_centre);
    return lease != nullptr && (authority_is_valid(*lease, w.now) ||
                                (w.faults.skip_authority_check && lease->held));
}

bool leases_released(world const &w)
{
    auto const *lease = w.leases.find(w.identity.data_centre);
    return lease == nullptr ||
           (!lease->held && lease->step != lease_step::writing);
}

void renew_leases(world &w)
{
    if (w.identity.data_centre.empty())
    {
        return;
    }
    auto &lease = w.leases.add(w.identity.data_centre);
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::lease)
        {
            handle_reply(w, lease, reply);
        }
    }
    expire_operation(w, lease);
    if (w.draining)
    {
        drain(w, lease);
        return;
    }
    if (lease.step == lease_step::idle && w.now >= next_action(lease))
    {
        send_next(w, lease);
    }
    wake_at(w, next_action(lease));
}

} // namespace agateledge
