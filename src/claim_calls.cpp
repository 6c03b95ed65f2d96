#include "claim_calls.hpp"

#include "json_text.hpp"
#include "request_lifecycle.hpp"
#include "send_table_call.hpp"
#include "world.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace agateledge
{

namespace
{

constexpr char const *outcome_method = "OUTCOME";

/// Time that a call waits for its claim if its class has no finish deadline.
constexpr duration default_finish_deadline = seconds(10);

/// Bounds of the back-off between two attempts at the same step.
constexpr duration min_backoff = milliseconds(25);
constexpr duration max_backoff = seconds(2);

/// Failed inserts after which the call is refused; the back-off between the
/// first and the last adds up to about 175 ms.
constexpr int max_insert_attempts = 4;

duration backoff(world &w, int failures)
{
    constexpr int max_doublings = 7;
    auto const doubled_backoff =
        min_backoff * (1 << std::min(failures, max_doublings));
    auto const jitter = 0.5 + w.random.uniform() / 2;
    return from_seconds(to_seconds(std::min(doubled_backoff, max_backoff)) *
                        jitter);
}

std::string attempt_id_of(world const &w, request_number request)
{
    return w.identity.name + ":" +
           std::to_string(w.identity.incarnation.value()) + ":" +
           std::to_string(request.value());
}

/// @return true when the daemon that wrote `attempt` is known to have a newer
///         incarnation
bool holder_has_ended(world const &w, std::string const &attempt)
{
    auto const last = attempt.rfind(':');
    auto const middle = last == std::string::npos || last == 0
                            ? std::string::npos
                            : attempt.rfind(':', last - 1);
    if (middle == std::string::npos)
    {
        return false;
    }
    std::uint64_t incarnation = 0;
    std::from_chars(attempt.data() + middle + 1, attempt.data() + last,
                    incarnation);
    auto const name = attempt.substr(0, middle);
    auto const peer = w.peers.states.find(name);
    auto const known = name == w.identity.name ? w.identity.incarnation
                       : peer == w.peers.states.end()
                           ? incarnation_number()
                           : peer->second.incarnation;
    return incarnation < known.value();
}

table_call table_call_of(claim_state const &claim)
{
    table_call call;
    auto const write = [&](claim_row const &row)
    {
        call.conditions.push_back({claim.key, claim.row_version});
        call.puts.push_back({claim.key, claim_row_to_text(row)});
    };
    switch (claim.step)
    {
    case claim_step::inserting:
        write(claim.row);
        break;
    case claim_step::marking:
        write(claim.abandoned_row);
        break;
    case claim_step::recording:
        write(*claim.outcome);
        break;
    case claim_step::reading:
    case claim_step::waiting:
    case claim_step::querying:
    case claim_step::held:
        call.keys.push_back(claim.key);
        break;
    }
    return call;
}

/// Enters `step` and sends its operation to the table service.
void send_operation(world &w, claim_state &claim, claim_step step)
{
    claim.step = step;
    w.claims.wait_for(
        claim, send_table_call(w, table_owner::claim, table_call_of(claim)));
}

/// Schedules the operation of the claim's step after a delay that grows with
/// each failure.
void retry_later(world &w, claim_state &claim)
{
    auto const delay = backoff(w, claim.failures++);
    w.claims.due.add(w.now + delay, claim.request);
}

/// Refuses the claim's request, which also settles the claim.
void refuse(world &w, claim_state &claim, result_code code, char const *message)
{
    refuse_request(w, claim.request, code, message);
}

void answer(world &w, claim_state &claim, int http_status, std::string text)
{
    auto const number = claim.request;
    caller_reply reply;
    reply.request = number;
    reply.kind = caller_reply_kind::finished;
    reply.http_status = http_status;
    reply.text = std::move(text);
    w.out.caller_replies.push_back(std::move(reply));
    w.claims.erase(number);
    finish_request(w, number);
}

void answer_query(world &w, claim_state &claim,
                  std::optional<claim_row> const &row)
{
    if (!row)
    {
        refuse(w, claim, result_code::unknown_request,
               "no call with this idempotency key is recorded");
        return;
    }
    Json::Value document;
    switch (row->state)
    {
    case claim_row_state::claimed:
        document["outcome"] =
            holder_has_ended(w, row->attempt) ? "unknown" : "in_progress";
        break;
    case claim_row_state::done:
        document["outcome"] = "done";
        document["status"] = row->http_status;
        document["body"] = row->body;
        break;
    case claim_row_state::unknown:
        document["outcome"] = "unknown";
        break;
    case claim_row_state::not_run:
        document["outcome"] = "not_run";
        break;
    }
    constexpr int http_ok = 200;
    answer(w, claim, http_ok, json_to_text(document));
}

void confirm_claim(world &w, claim_state &claim, std::uint64_t version)
{
    claim.row_version = version;
    claim.maybe_written = false;
    claim.failures = 0;
    if (claim.outcome)
    {
        send_operation(w, claim, claim_step::recording);
        return;
    }
    claim.step = claim_step::held;
    requeue_request(w, *w.requests.find(claim.request));
}

/// Continues with the stored row when the claim has an outcome to store.
void settle_after_read(world &w, claim_state &claim, table_row const &stored,
                       std::optional<claim_row> const &row)
{
    bool const by_this_claim = row && row->attempt == claim.row.attempt;
    bool const absent = stored.version == 0 &&
                        (claim.maybe_written ||
                         claim.outcome->state != claim_row_state::not_run);
    bool const replaceable = claim.maybe_written && row &&
                             row->state == claim_row_state::not_run &&
                             stored.version == claim.row_version;
    if ((by_this_claim && row->state == claim.outcome->state) ||
        (!by_this_claim && !absent && !replaceable))
    {
        w.claims.erase(claim.request);
        return;
    }
    claim.row_version = stored.version;
    send_operation(w, claim, claim_step::recording);
}

void wait_for_holder(world &w, claim_state &claim, table_row const &stored,
                     claim_row const &row)
{
    if (!holder_has_ended(w, row.attempt))
    {
        claim.step = claim_step::waiting;
        retry_later(w, claim);
        return;
    }
    claim.abandoned_row = row;
    claim.abandoned_row.state = claim_row_state::unknown;
    claim.row_version = stored.version;
    send_operation(w, claim, claim_step::marking);
}

/// Continues when the stored row belongs to another call.
void handle_foreign_row(world &w, claim_state &claim, table_row const &stored,
                        std::optional<claim_row> const &row)
{
    if (!row)
    {
        refuse(w, claim, result_code::outcome_unknown,
               "the stored outcome of the call cannot be decoded");
        return;
    }
    if (row->fingerprint != claim.row.fingerprint)
    {
        refuse(w, claim, result_code::idempotency_key_reused,
               "the idempotency key was used with a different request");
        return;
    }
    switch (row->state)
    {
    case claim_row_state::done:
        answer(w, claim, row->http_status, row->body);
        return;
    case claim_row_state::unknown:
        refuse(w, claim, result_code::outcome_unknown,
               "the outcome of the call with this idempotency key is unknown");
        return;
    case claim_row_state::claimed:
    case claim_row_state::not_run:
        wait_for_holder(w, claim, stored, *row);
        return;
    }
}

/// Continues with the stored row, which was read or returned by a conflict.
void handle_row(world &w, claim_state &claim, table_row const &stored)
{
    auto const row =
        stored.version == 0 ? std::nullopt : claim_row_from_text(stored.value);
    if (claim.outcome)
    {
        settle_after_read(w, claim, stored, row);
        return;
    }
    if (claim.step == claim_step::querying)
    {
        answer_query(w, claim, row);
        return;
    }
    if (row && row->attempt == claim.row.attempt)
    {
        confirm_claim(w, claim, stored.version);
        return;
    }
    // A write is conditional on the version that it replaces, so a write of
    // unknown outcome can take effect only while the row has that version.
    claim.maybe_written &= stored.version == claim.row_version;
    if (stored.version == 0 || (row && row->state == claim_row_state::not_run))
    {
        claim.row_version = stored.version;
        send_operation(w, claim, claim_step::inserting);
        return;
    }
    handle_foreign_row(w, claim, stored, row);
}

void handle_failed_insert(world &w, claim_state &claim, table_outcome outcome)
{
    if (outcome == table_outcome::unknown)
    {
        claim.maybe_written = true;
        send_operation(w, claim, claim_step::reading);
        return;
    }
    if (claim.outcome && !claim.maybe_written)
    {
        w.claims.erase(claim.request);
        return;
    }
    if (!claim.outcome && claim.failures + 1 >= max_insert_attempts)
    {
        refuse(w, claim, result_code::store_unavailable,
               "the table service does not answer");
        return;
    }
    retry_later(w, claim);
}

void handle_write(world &w, claim_state &claim, table_reply const &reply)
{
    if (reply.outcome == table_outcome::committed)
    {
        confirm_claim(w, claim, reply.rows.front().version);
        return;
    }
    if (reply.outcome == table_outcome::conflict)
    {
        handle_row(w, claim, reply.rows.front());
        return;
    }
    handle_failed_insert(w, claim, reply.outcome);
}

void handle_record(world &w, claim_state &claim, table_reply const &reply)
{
    switch (reply.outcome)
    {
    case table_outcome::committed:
        w.claims.erase(claim.request);
        return;
    case table_outcome::conflict:
        handle_row(w, claim, reply.rows.front());
        return;
    case table_outcome::unknown:
        send_operation(w, claim, claim_step::reading);
        return;
    case table_outcome::unavailable:
        retry_later(w, claim);
        return;
    }
}

void handle_reply(world &w, table_reply const &reply)
{
    auto *claim = reply.owner == table_owner::claim
                      ? w.claims.end_wait(reply.operation)
                      : nullptr;
    if (claim == nullptr)
    {
        return;
    }
    if (!claim->outcome && w.requests.find(claim->request) == nullptr)
    {
        w.claims.erase(claim->request);
        return;
    }
    switch (claim->step)
    {
    case claim_step::inserting:
        handle_write(w, *claim, reply);
        return;
    case claim_step::recording:
        handle_record(w, *claim, reply);
        return;
    case claim_step::marking:
        claim->step = claim_step::waiting;
        retry_later(w, *claim);
        return;
    default:
        break;
    }
    if (reply.outcome == table_outcome::committed)
    {
        handle_row(w, *claim, reply.rows.front());
        return;
    }
    retry_later(w, *claim);
}

/// Refuses the request of a claim whose deadline has passed.
void expire(world &w, claim_state &claim)
{
    switch (claim.step)
    {
    case claim_step::waiting:
        refuse(w, claim, result_code::in_progress,
               "a call with this idempotency key is in progress");
        return;
    case claim_step::marking:
    case claim_step::querying:
        refuse(
            w, claim, result_code::outcome_unknown,
            "the outcome of the call with this idempotency key cannot be read");
        return;
    default:
        refuse(w, claim, result_code::store_unavailable,
               "the table service does not answer");
        return;
    }
}

void handle_due(world &w, request_number number)
{
    auto *claim = w.claims.find(number);
    if (claim == nullptr || claim->step == claim_step::held)
    {
        return;
    }
    if (!claim->outcome && w.now >= claim->deadline)
    {
        expire(w, *claim);
        return;
    }
    if (claim->operation.value() != 0)
    {
        return;
    }
    bool const skip_insert =
        claim->outcome && claim->step == claim_step::inserting;
    send_operation(w, *claim, skip_insert ? claim_step::reading : claim->step);
}

claim_state &add_claim(world &w, request_state &request)
{
    request.phase = request_phase::claiming;
    auto const finish_deadline = request.kind.finish_deadline;
    claim_state claim;
    claim.request = request.arrival.request;
    claim.key = claim_key_of(request.arrival);
    claim.row.attempt = attempt_id_of(w, claim.request);
    claim.row.fingerprint = fingerprint_of(request.arrival);
    claim.deadline = request.arrived_at + (finish_deadline.count() > 0
                                               ? finish_deadline
                                               : default_finish_deadline);
    w.claims.due.add(claim.deadline, claim.request);
    return w.claims.add(std::move(claim));
}

void settle(world &w, claim_state &claim, claim_row outcome)
{
    claim.outcome = std::move(outcome);
    if (claim.step == claim_step::held)
    {
        send_operation(w, claim, claim_step::recording);
        return;
    }
    bool const in_flight =
        claim.operation.value() != 0 && (claim.step == claim_step::inserting ||
                                         claim.step == claim_step::reading);
    if (in_flight)
    {
        return;
    }
    if (!claim.maybe_written)
    {
        w.claims.erase(claim.request);
        return;
    }
    if (claim.operation.value() == 0)
    {
        send_operation(w, claim, claim_step::reading);
    }
}

} // namespace

bool is_outcome_query(request_arrival const &arrival)
{
    return !arrival.service.empty() && arrival.method == outcome_method;
}

void begin_claim(world &w, request_state &request)
{
    send_operation(w, add_claim(w, request), claim_step::inserting);
}

void begin_outcome_query(world &w, request_state &request)
{
    send_operation(w, add_claim(w, request), claim_step::querying);
}

bool holds_claim(world const &w, request_state const &request)
{
    auto const *claim = w.claims.find(request.arrival.request);
    return w.faults.skip_claim ||
           (claim != nullptr && claim->step == claim_step::held);
}

void mark_sent(world &w, request_number request, bool sent)
{
    auto *claim = w.claims.find(request);
    if (claim != nullptr)
    {
        claim->sent = sent;
    }
}

bool may_have_run(world const &w, request_number request)
{
    auto const *claim = w.claims.find(request);
    return claim != nullptr && claim->sent;
}

void settle_done(world &w, request_number request, int http_status,
                 std::string const &body)
{
    auto *claim = w.claims.find(request);
    if (claim == nullptr)
    {
        return;
    }
    auto outcome = claim->row;
    outcome.state = claim_row_state::done;
    outcome.http_status = http_status;
    outcome.body = body;
    settle(w, *claim, std::move(outcome));
}

void settle_unanswered(world &w, request_number request)
{
    auto *claim = w.claims.find(request);
    if (claim == nullptr)
    {
        return;
    }
    auto outcome = claim->row;
    outcome.state =
        claim->sent ? claim_row_state::unknown : claim_row_state::not_run;
    settle(w, *claim, std::move(outcome));
}

void claim_calls(world &w)
{
    std::ranges::for_each(w.in.table_replies, [&w](table_reply const &reply)
                          { handle_reply(w, reply); });
    while (auto const number = w.claims.due.pop_due(w.now))
    {
        handle_due(w, *number);
    }
    if (auto const next = w.claims.due.next())
    {
        wake_at(w, *next);
    }
}

} // namespace agateledge
