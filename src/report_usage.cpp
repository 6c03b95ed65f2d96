#include "report_usage.hpp"

#include "backoff_delay.hpp"
#include "count_usage.hpp"
#include "duty_state.hpp"
#include "json_text.hpp"
#include "log_proxied_request.hpp"
#include "platform_call.hpp"
#include "usage_state.hpp"
#include "world.hpp"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Time after the end of a window in which the last counts arrive: one snapshot
/// interval and one more in case a snapshot is lost.
constexpr duration settle_time = milliseconds(1100);

/// Time before a report is due at which it is made without the counts of
/// daemons that have not delivered them; allows for a write and two calls.
constexpr duration report_margin = seconds(3);

/// Time after a takeover in which all daemons have sent their counts to the new
/// holder.
constexpr duration collection_time = milliseconds(1500);

/// Time for which windows wait for daemons that may know that the store has
/// lost a report; exceeds the lifetime of the row of a daemon that has ended.
constexpr duration max_uncertainty = seconds(20);

/// Time before a report is due at which it is sent although no other daemon has
/// confirmed that it knows of it.
constexpr duration echo_margin = milliseconds(1500);

constexpr duration others_check_interval = milliseconds(200);

constexpr duration read_timeout = seconds(1);
constexpr duration read_retry = milliseconds(300);
constexpr duration call_timeout = seconds(2);
constexpr duration backoff_base = milliseconds(200);
constexpr duration max_backoff = milliseconds(1500);
/// Calls at the same time. More than one only after an outage.
constexpr int max_open_calls = 4;

/// Replies that reject a report before it is given up.
constexpr int max_rejections = 20;

/// Maximum size of a row's value; the store takes 64 KB with base64 included.
constexpr std::size_t max_row_bytes = 48 * 1024;
constexpr std::size_t entry_overhead = 16;

/// Rows that one transaction removes; it has at most 100 entries.
constexpr std::size_t max_removed_rows = 20;

/// Age of samples of other daemons' times.
constexpr duration sample_lifetime = seconds(5);

constexpr char const *row_prefix = "usage/";

std::string row_key(std::int64_t window, std::size_t part)
{
    auto const key = row_prefix + std::to_string(window);
    return part == 0 ? key : key + "/" + std::to_string(part);
}

/// @return window of a row, or nothing when the key is not that of such a row
std::optional<std::int64_t> window_of(std::string const &key)
{
    if (!absl::StartsWith(key, row_prefix))
    {
        return std::nullopt;
    }
    auto const number = key.substr(std::string_view(row_prefix).size());
    std::int64_t window = 0;
    return absl::SimpleAtoi(number.substr(0, number.find('/')), &window)
               ? std::optional(window)
               : std::nullopt;
}

std::vector<row_put> rows_of(usage_report const &report)
{
    std::vector<row_put> out;
    Json::Value counts(Json::objectValue);
    std::size_t bytes = 0;
    auto const end_row = [&]
    {
        out.push_back(
            {row_key(report.window, out.size()), json_to_text(counts)});
        counts = Json::Value(Json::objectValue);
        bytes = 0;
    };
    for (auto const &[account, requests] : report.requests)
    {
        auto const size = account.size() + entry_overhead;
        if (bytes + size > max_row_bytes)
        {
            end_row();
        }
        bytes += size;
        counts[account] = Json::UInt64(requests);
    }
    end_row();
    return out;
}

std::uint64_t hash_of(usage_report const &report)
{
    std::string text;
    for (auto const &[account, requests] : report.requests)
    {
        text += account + '\0' + std::to_string(requests) + '\n';
    }
    return XXH3_64bits(text.data(), text.size());
}

void add_row(world &w, stored_row const &row, usage_report &report)
{
    auto const counts = json_from_text(row.value);
    if (!counts.ok() || !counts->isObject())
    {
        log_proxied_request(w, log_level::error, "usage_row_unreadable",
                            {{"key", row.key}});
        return;
    }
    for (auto const &account : counts->getMemberNames())
    {
        if ((*counts)[account].isUInt64())
        {
            report.requests[account] = (*counts)[account].asUInt64();
        }
    }
}

std::pair<std::uint64_t, std::uint64_t> present_term(duty_state const &duties)
{
    return {duties.lease(duty::report_usage).row.fencing.value(), duties.era};
}

duration end_of(world const &w, std::int64_t window)
{
    return (window + 1) * w.proxy.limits.duties.usage_window;
}

void send_read(world &w)
{
    auto &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    row_transaction item;
    item.operation = ++duties.last_operation;
    item.owner = row_owner::usage;
    item.conditions = {{row_prefix, 0}};
    item.timeout = read_timeout;
    usage.read_operation = item.operation;
    usage.read_sent_at = w.now;
    usage.read_era = duties.era;
    w.out.row_transactions.push_back(
        std::make_shared<row_transaction const>(std::move(item)));
}

/// Takes over the reports that are written in the store. Content that this
/// daemon may have sent stays as it is: after the store has returned from an
/// older copy, its rows are written again.
void adopt_rows(world &w, std::vector<stored_row> const &rows)
{
    auto &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    std::map<std::int64_t, usage_report> stored;
    usage.rows.clear();
    for (auto const &row : rows)
    {
        auto const window = window_of(row.key);
        if (window && row.version != 0)
        {
            usage.rows.insert(row.key);
            stored[*window].window = *window;
            add_row(w, row, stored[*window]);
        }
    }
    for (auto &[window, item] : usage.pending)
    {
        item.written = stored.contains(window);
    }
    for (auto const &[window, report] : stored)
    {
        auto const [place, added] =
            usage.pending.try_emplace(window, pending_report{report, true});
        if (!added && !place->second.sent)
        {
            place->second.report = report;
        }
        duties.closed_window = std::max(duties.closed_window, window);
    }
}

void handle_read(world &w, row_transaction_reply const &reply)
{
    auto &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    if (reply.operation != usage.read_operation)
    {
        return;
    }
    usage.read_operation = 0;
    bool const usable = reply.outcome == row_transaction_outcome::committed &&
                        reply.store_era == usage.read_era &&
                        duties.era == usage.read_era;
    if (!usable)
    {
        usage.next_read = w.now + read_retry;
        return;
    }
    adopt_rows(w, reply.rows);
    usage.rows_read_under = present_term(duties);
    usage.synchronised_at = w.now;
}

/// @return true once the rows have been read under the present lease
bool synchronise(world &w)
{
    auto &usage = usage_of(w);
    if (usage.rows_read_under == present_term(*w.proxy.duties))
    {
        return true;
    }
    bool const in_flight = usage.read_operation != 0 &&
                           w.now - usage.read_sent_at < 2 * read_timeout;
    if (!in_flight && usage.next_read <= w.now)
    {
        send_read(w);
    }
    wake_at(w, w.now + read_retry);
    return false;
}

/// Sets the time of the fleet to the median of the daemons' clocks.
void update_fleet_time(world &w)
{
    auto &usage = usage_of(w);
    std::vector<duration> offsets{usage.clock.offset().value_or(duration())};
    for (auto const &[sender, received] : usage.received)
    {
        if (w.now - received.heard_at < sample_lifetime)
        {
            offsets.push_back(received.time.offset);
        }
    }
    auto const middle =
        offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::ranges::nth_element(offsets, middle);
    usage.fleet_time = {*middle, w.now};
}

/// @return true when all known daemons have sent their counts of the window
bool is_complete(world &w, std::int64_t window)
{
    auto const &usage = usage_of(w);
    return std::ranges::all_of(
        w.proxy.daemons,
        [&](auto const &peer)
        {
            auto const &name = peer.first;
            return name == w.identity.name || peer.second.address.empty() ||
                   std::ranges::any_of(usage.received,
                                       [&](auto const &item) {
                                           return item.first.first == name &&
                                                  item.second.open_window >
                                                      window;
                                       });
        });
}

usage_report report_of(world &w, std::int64_t window)
{
    auto const &usage = usage_of(w);
    usage_report out;
    out.window = window;
    auto const add = [&](window_counts const &counts)
    {
        auto const found = counts.find(window);
        if (found == counts.end())
        {
            return;
        }
        for (auto const &[account, requests] : found->second)
        {
            if (requests > 0)
            {
                out.requests[account] += requests;
            }
        }
    };
    add(usage.counts);
    for (auto const &[sender, received] : usage.received)
    {
        add(received.counts);
    }
    return out;
}

/// @return the first window that has no report yet; nothing before a request
///         has been counted
std::optional<std::int64_t> next_window(world &w)
{
    auto const &usage = usage_of(w);
    if (w.proxy.duties->closed_window != 0)
    {
        return w.proxy.duties->closed_window + 1;
    }
    std::optional<std::int64_t> first;
    auto const consider = [&first](window_counts const &counts)
    {
        if (!counts.empty())
        {
            first = std::min(first.value_or(counts.begin()->first),
                             counts.begin()->first);
        }
    };
    consider(usage.counts);
    for (auto const &[sender, received] : usage.received)
    {
        consider(received.counts);
    }
    return first;
}

void write_report(world &w, usage_report const &report)
{
    auto &usage = usage_of(w);
    duty_rows rows;
    rows.puts = rows_of(report);
    std::ranges::transform(rows.puts, std::back_inserter(rows.conditions),
                           [](row_put const &put) {
                               return row_condition{put.key, 0};
                           });
    for (auto const &key : usage.rows)
    {
        auto const window = window_of(key).value_or(report.window);
        auto const found = usage.pending.find(window);
        bool const finished =
            found == usage.pending.end() || found->second.accepted;
        if (window < report.window && finished &&
            rows.removes.size() < max_removed_rows)
        {
            rows.removes.push_back(key);
        }
    }
    usage.writing = report.window;
    w.proxy.duties->lease(duty::report_usage).rows = std::move(rows);
    wake_at(w, w.now);
}

/// @return true when all known daemons have told which windows are closed since
///         the rows were read
bool has_heard_all(world &w)
{
    auto const &usage = usage_of(w);
    return std::ranges::all_of(
        w.proxy.daemons,
        [&](auto const &peer)
        {
            auto const &name = peer.first;
            return name == w.identity.name || peer.second.address.empty() ||
                   std::ranges::any_of(usage.received,
                                       [&](auto const &item)
                                       {
                                           return item.first.first == name &&
                                                  item.second.heard_at >
                                                      usage.synchronised_at;
                                       });
        });
}

enum class certainty
{
    known,
    /// Another daemon may know of another report of the window.
    waits,
    /// Daemons that may know of one have not been heard.
    unknown,
};

certainty certainty_of(world &w, std::int64_t window)
{
    auto const &usage = usage_of(w);
    if (window > usage.uncertain_until || has_heard_all(w))
    {
        return certainty::known;
    }
    return w.now < usage.synchronised_at + max_uncertainty ? certainty::waits
                                                           : certainty::unknown;
}

void skip_window(world &w, std::int64_t window)
{
    auto &duties = *w.proxy.duties;
    duties.add_closed({{window, 0}});
    ++duties.reports["missed"];
    log_proxied_request(w, log_level::error, "usage_report_missed",
                        {{"window", std::to_string(window)}});
    wake_at(w, w.now);
}

void close_next_window(world &w)
{
    auto &usage = usage_of(w);
    auto const newest = w.proxy.duties->closed_window;
    auto const unwritten = std::ranges::find_if(
        usage.pending,
        [newest](auto const &item)
        {
            // The newest row states which windows are reported.
            return !item.second.written &&
                   (!item.second.accepted || item.first == newest);
        });
    if (unwritten != usage.pending.end())
    {
        write_report(w, unwritten->second.report);
        return;
    }
    auto const window = next_window(w);
    auto const time = wall_time(w);
    if (!window || !time)
    {
        return;
    }
    auto const end = end_of(w, *window);
    auto const latest = end + w.proxy.limits.duties.usage_due - report_margin;
    bool const settled = *time >= end + settle_time;
    // Other daemons may know of windows that the store has lost.
    bool const collected = w.now >= usage.synchronised_at + collection_time;
    auto const state = certainty_of(w, *window);
    if (state == certainty::unknown)
    {
        skip_window(w, *window);
        return;
    }
    if (state == certainty::known && collected && settled &&
        (*time >= latest || is_complete(w, *window)))
    {
        auto const report = report_of(w, *window);
        usage.pending[*window] = pending_report{report};
        write_report(w, report);
        return;
    }
    if (!settled)
    {
        wake_at(w, w.now + (end + settle_time - *time));
    }
}

void finish_write(world &w)
{
    auto &duties = *w.proxy.duties;
    auto &usage = usage_of(w);
    auto &rows = duties.lease(duty::report_usage).rows;
    if (!usage.writing || !rows)
    {
        usage.writing.reset();
        return;
    }
    if (rows->progress == duty_rows_progress::committed)
    {
        for (auto const &put : rows->puts)
        {
            usage.rows.insert(put.key);
        }
        for (auto const &key : rows->removes)
        {
            usage.rows.erase(key);
        }
        auto &item = usage.pending[*usage.writing];
        item.written = true;
        duties.add_closed({{*usage.writing, hash_of(item.report)}});
        // The others must know that the window is closed before it is reported
        // by another holder.
        duties.next_notice = w.now;
        wake_at(w, w.now);
    }
    else if (rows->progress == duty_rows_progress::conflict)
    {
        usage.rows_read_under = {};
    }
    else
    {
        return;
    }
    usage.writing.reset();
    rows.reset();
}

int open_calls(usage_state const &usage)
{
    return static_cast<int>(
        std::ranges::count_if(usage.pending, [](auto const &item)
                              { return item.second.operation != 0; }));
}

void send_report(world &w, pending_report &item, duty_authority const &held)
{
    auto &duties = *w.proxy.duties;
    platform_call call;
    call.operation = ++duties.last_operation;
    call.holder = w.identity.name;
    call.fencing = held.fencing;
    call.body = item.report;
    call.timeout = call_timeout;
    call.not_after = held.valid_until;
    ++duties.reports[item.sent ? "repeated" : "sent"];
    item.operation = call.operation;
    item.call_ends_at = w.now + 2 * call_timeout;
    item.sent = true;
    w.out.platform_calls.push_back(
        std::make_shared<platform_call const>(std::move(call)));
}

void finish_report(world &w, pending_report &item, bool accepted, int status)
{
    auto &duties = *w.proxy.duties;
    item.accepted = true;
    auto const time = wall_time(w).value_or(duration());
    auto const age = time - end_of(w, item.report.window);
    bool const late = age > w.proxy.limits.duties.usage_due;
    duties.reports["accepted"] += accepted ? 1 : 0;
    duties.reports["late"] += accepted && late ? 1 : 0;
    duties.reports["missed"] += accepted ? 0 : 1;
    std::uint64_t requests = 0;
    for (auto const &[account, count] : item.report.requests)
    {
        requests += count;
    }
    log_proxied_request(
        w, accepted ? log_level::info : log_level::error,
        accepted ? "usage_reported" : "usage_report_missed",
        {{"window", std::to_string(item.report.window)},
         {"accounts", std::to_string(item.report.requests.size())},
         {"requests", std::to_string(requests)},
         {"failures", std::to_string(item.failures)},
         {"age_ms", milliseconds_text(age)},
         {"status", std::to_string(status)}});
}

/// @return true when another daemon knows that the window is closed, so that
///         its report is not made anew if this daemon ends and the store loses
///         the row
bool is_known_elsewhere(world &w, std::int64_t window)
{
    auto const &received = usage_of(w).received;
    auto const time = wall_time(w).value_or(duration());
    auto const latest =
        end_of(w, window) + w.proxy.limits.duties.usage_due - echo_margin;
    return time >= latest ||
           std::ranges::any_of(received, [window](auto const &item)
                               { return item.second.closed_window >= window; });
}

void send_due_reports(world &w)
{
    auto &usage = usage_of(w);
    auto const held = authority_over(w, duty::report_usage);
    for (auto &[window, item] : usage.pending)
    {
        if (item.operation != 0 && w.now >= item.call_ends_at)
        {
            item.operation = 0;
        }
        bool const waits =
            item.written && !item.accepted && item.operation == 0;
        if (!waits || !held || open_calls(usage) >= max_open_calls)
        {
            continue;
        }
        auto &duties = *w.proxy.duties;
        auto const hash = hash_of(item.report);
        auto const known = duties.closed_hashes.find(window);
        bool const is_known = known != duties.closed_hashes.end();
        auto const state =
            is_known ? certainty::known : certainty_of(w, window);
        bool const waits_for_others =
            state == certainty::waits || !is_known_elsewhere(w, window);
        if (waits_for_others)
        {
            wake_at(w, w.now + others_check_interval);
            continue;
        }
        if (state == certainty::unknown || (is_known && known->second != hash))
        {
            finish_report(w, item, false, 0);
            continue;
        }
        duties.add_closed({{window, hash}});
        if (item.next_call > w.now)
        {
            wake_at(w, item.next_call);
            continue;
        }
        send_report(w, item, *held);
    }
}

void handle_reply(world &w, platform_reply const &reply)
{
    auto &usage = usage_of(w);
    auto const found = std::ranges::find_if(
        usage.pending, [&reply](auto const &item)
        { return item.second.operation == reply.operation; });
    if (found == usage.pending.end())
    {
        return;
    }
    auto &item = found->second;
    item.operation = 0;
    if (reply.outcome == platform_outcome::accepted)
    {
        finish_report(w, item, true, reply.status);
        return;
    }
    ++item.failures;
    item.rejections += reply.outcome == platform_outcome::rejected ? 1 : 0;
    item.next_call = w.now + backoff_delay(w.random, item.failures,
                                           backoff_base, max_backoff);
    if (item.rejections >= max_rejections)
    {
        finish_report(w, item, false, reply.status);
    }
}

/// Forgets finished reports without rows; the newest row stays in the store,
/// because it states which windows are reported.
void forget_finished_reports(world &w)
{
    auto &usage = usage_of(w);
    auto const newest = w.proxy.duties->closed_window;
    std::erase_if(usage.pending,
                  [&usage, newest](auto const &item)
                  {
                      return item.second.accepted && item.first != newest &&
                             !usage.rows.contains(row_key(item.first, 0));
                  });
}

} // namespace

void report_usage(world &w)
{
    if (!has_duties(w) || !w.proxy.limits.duties.reports_usage)
    {
        return;
    }
    auto &duties = duties_of(w);
    auto &usage = usage_of(w);
    for (auto const &reply : w.in.row_transaction_replies)
    {
        if (reply->owner == row_owner::usage)
        {
            handle_read(w, *reply);
        }
    }
    std::ranges::for_each(w.in.platform_replies,
                          [&w](auto const &reply) { handle_reply(w, *reply); });
    if (!duties.lease(duty::report_usage).held || w.proxy.stopping_since)
    {
        usage.pending.clear();
        usage.writing.reset();
        usage.rows_read_under = {};
        return;
    }
    update_fleet_time(w);
    if (!synchronise(w))
    {
        return;
    }
    finish_write(w);
    if (!usage.writing)
    {
        close_next_window(w);
    }
    send_due_reports(w);
    forget_finished_reports(w);
}

} // namespace agateledge
