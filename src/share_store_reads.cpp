#include "share_store_reads.hpp"

#include "exchange_topology.hpp"
#include "log_proxied_request.hpp"
#include "poll_schedule.hpp"
#include "rendezvous_rank.hpp"
#include "store_view_state.hpp"
#include "update_directory.hpp"
#include "world.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// Daemons of a data centre that read the store, so that the end of one of them
/// makes no daemon's view too old.
constexpr std::size_t reader_count = 2;

constexpr char const *reader_hash_key = "store_reader";

/// Interval at which the readers are chosen, which ranks all daemons of the
/// data centre; short against the silence after which a reader is passed over.
constexpr duration choice_interval = milliseconds(250);

/// Time by which a view may be older than the interval of the readers before a
/// daemon reads the store itself. The next report then is late by this time.
constexpr duration report_slack = milliseconds(300);

/// The same for the configuration, whose readers report at least at the end of
/// each long poll.
constexpr duration configuration_slack = milliseconds(400);

/// Further time by which a daemon delays its own read at random, so that those
/// of a data centre do not all read the store at the same moment when their
/// readers end.
constexpr duration max_read_spread = max_report_lag - report_slack;

/// Time for which reports repeat a change: three intervals of a reader, so that
/// two lost datagrams in a row do no harm.
constexpr duration change_retention = seconds(6);

/// Maximum number of changes in a report, which bounds it to 50 KB.
constexpr std::size_t max_reported_changes = 300;

/// Time after the announcement of a configuration within which the store
/// answers if it can; usually 4 ms.
constexpr duration own_read_time = milliseconds(400);

/// Neighbours that are asked one after the other, and the pause after them.
constexpr int max_neighbours = 3;
constexpr duration neighbour_pause = seconds(1);

/// Longest time for which a daemon that starts waits for its neighbours before
/// it is ready. When a whole fleet starts, they may have ended as well, and it
/// must serve 2 s after the store answers.
constexpr duration max_start_check = milliseconds(600);

std::size_t index_of(polled_table table)
{
    return static_cast<std::size_t>(table);
}

table_poll_state &poll_state_of(world &w, polled_table table)
{
    return w.proxy.table_polls.at(index_of(table));
}

/// @return true when some daemons read for the others. A store that names no
/// eras never reuses versions.
bool shares_reads(world const &w)
{
    return !is_mesh(w);
}

duration reader_interval(world const &w)
{
    return poll_schedule_of(w.proxy, polled_table::instances, false).interval;
}

bool store_is_restored(world const &w)
{
    auto const &store = w.proxy.store;
    auto const grace_from =
        std::max(store.failed_at ? store.restored_at : instant{},
                 w.proxy.store_view->era_changed_at.value_or(instant{}));
    return grace_from != instant{} && w.now < grace_from + missing_row_grace;
}

/// @return names of the daemons of this data centre that can read for others,
///         the highest rank first
std::vector<std::string> ranked_readers(world const &w)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    auto const add = [&ranked](std::string const &name)
    { ranked.emplace_back(rendezvous_weight(reader_hash_key, name), name); };
    for (auto const &[name, peer] : w.proxy.daemons)
    {
        if (name != w.identity.name && !peer.address.empty() &&
            peer.data_centre == w.identity.data_centre)
        {
            add(name);
        }
    }
    if (!w.proxy.peer_address.empty() && !w.proxy.stopping_since)
    {
        add(w.identity.name);
    }
    std::ranges::sort(ranked, std::greater<>());
    std::vector<std::string> out;
    std::ranges::transform(ranked, std::back_inserter(out),
                           [](auto const &item) { return item.second; });
    return out;
}

/// Decides whether this daemon is one of the first `reader_count` that are
/// heard. A daemon that is silent, because it ended, was frozen or cannot reach
/// the store, is passed over until it is heard again.
void choose_readers(world &w)
{
    auto &view = *w.proxy.store_view;
    bool const was_reader = std::exchange(view.is_reader, false);
    auto const before = std::exchange(view.expected_readers, {});
    if (!shares_reads(w))
    {
        return;
    }
    auto const max_silence = 2 * reader_interval(w) + report_slack;
    std::size_t found = 0;
    for (auto const &name : ranked_readers(w))
    {
        if (found == reader_count)
        {
            break;
        }
        if (name == w.identity.name)
        {
            view.is_reader = true;
            ++found;
            continue;
        }
        auto const known = before.find(name);
        // Nothing is expected of the readers while the store is away.
        auto const heard_at = known == before.end() || !w.proxy.store.reachable
                                  ? w.now
                                  : known->second;
        view.expected_readers[name] = heard_at;
        found += w.now - heard_at <= max_silence ? 1 : 0;
    }
    if (view.is_reader != was_reader)
    {
        log_proxied_request(
            w, log_level::info,
            view.is_reader ? "store_reader_began" : "store_reader_ended",
            {{"daemons", std::to_string(w.proxy.daemons.size())}});
    }
}

/// Records that a table is known as of a time from a report.
void confirm(world &w, polled_table table, instant as_of)
{
    auto &view = *w.proxy.store_view;
    auto &known_at = view.known_at.at(index_of(table));
    auto &reported_at = view.reported_at.at(index_of(table));
    known_at = std::max(known_at, as_of);
    reported_at = std::max(reported_at, as_of);
}

/// Takes over the instances of a report if it continues this daemon's view.
///
/// @param as_of time as of which the report is valid
/// @return true when the view is now at least as recent as the report
bool apply_instances(world &w, store_view_report const &report, instant as_of)
{
    auto &view = *w.proxy.store_view;
    auto &poll_state = poll_state_of(w, polled_table::instances);
    bool const continues = poll_state.fully_read &&
                           !poll_state.needs_full_read &&
                           report.from_version <= poll_state.version;
    if (!continues || store_is_restored(w))
    {
        return false;
    }
    if (report.version > poll_state.version)
    {
        view.step_base = poll_state.version;
        view.steps.push_back({poll_state.version, w.now});
        apply_reported_rows(w, report.changes);
        poll_state.version = report.version;
        view.step_base = report.version;
    }
    if (report.version == poll_state.version)
    {
        confirm(w, polled_table::instances, as_of);
    }
    return true;
}

void apply_configuration_version(world &w, store_view_report const &report,
                                 instant as_of)
{
    auto &view = *w.proxy.store_view;
    auto const own = w.proxy.routing->version;
    if (report.configuration_version > own &&
        report.configuration_version > view.fetch.announced_version)
    {
        view.fetch.announced_version = report.configuration_version;
        view.fetch.announced_at = w.now;
        view.fetch.attempts = 0;
    }
    if (report.configuration_version > own)
    {
        view.fetch.announced_by = report.sender;
        return;
    }
    auto &poll_state = poll_state_of(w, polled_table::configuration);
    if (report.configuration_version == own && poll_state.fully_read)
    {
        confirm(w, polled_table::configuration, as_of);
    }
}

/// @return what became of the report, for the metrics
std::string accept_report(world &w, store_view_report const &report)
{
    auto &view = *w.proxy.store_view;
    auto const peer = w.proxy.daemons.find(report.sender);
    if (peer == w.proxy.daemons.end() ||
        peer->second.data_centre != report.data_centre ||
        report.sender == w.identity.name)
    {
        return "unknown_sender";
    }
    auto &sender = view.senders[report.sender];
    if (std::pair(report.incarnation, report.sequence) <=
        std::pair(sender.incarnation, sender.sequence))
    {
        return "out_of_order";
    }
    sender.incarnation = report.incarnation;
    sender.sequence = report.sequence;
    auto const delay = sender.delay.add(report.sent_at, w.now);
    // The reader is alive and reaches the store.
    auto const expected = view.expected_readers.find(report.sender);
    if (expected != view.expected_readers.end())
    {
        expected->second = w.now;
    }
    if (report.era != w.proxy.store.era)
    {
        apply_configuration_version(w, report, instant{});
        return "other_era";
    }
    view.newest_version = std::max(view.newest_version, report.version);
    auto const arrived_after = delay.value_or(duration(0));
    apply_configuration_version(
        w, report,
        delay ? w.now - arrived_after - report.configuration_age : instant{});
    bool const used = apply_instances(
        w, report,
        delay ? w.now - arrived_after - report.instances_age : instant{});
    return used ? "accepted" : "not_continuous";
}

void take_over_fetched_configuration(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    if (auto const received = std::exchange(fetch.received, nullptr))
    {
        if (put_configuration_in_force(w, received, "neighbour"))
        {
            w.proxy.store_view->has_news = true;
        }
    }
}

/// Removes senders without a row.
void remove_lost_senders(world &w)
{
    std::erase_if(w.proxy.store_view->senders, [&w](auto const &item)
                  { return !w.proxy.daemons.contains(item.first); });
}

void expire_changes(world &w)
{
    auto &view = *w.proxy.store_view;
    std::erase_if(view.steps, [&w](view_step const &step)
                  { return w.now - step.at > change_retention; });
    auto const &version = poll_state_of(w, polled_table::instances).version;
    auto const first = view.steps.empty() ? version : view.steps.front().base;
    std::erase_if(view.changes, [first](view_change const &change)
                  { return change.base < first; });
}

/// Drops the oldest steps until the changes fit into a datagram.
void limit_changes(world &w)
{
    auto &view = *w.proxy.store_view;
    expire_changes(w);
    while (view.changes.size() > max_reported_changes && !view.steps.empty())
    {
        view.steps.erase(view.steps.begin());
        expire_changes(w);
    }
}

store_view_report make_report(world &w)
{
    auto &view = *w.proxy.store_view;
    limit_changes(w);
    auto const version = poll_state_of(w, polled_table::instances).version;
    auto const age = [&](polled_table table) {
        return std::max(w.now - view.known_at.at(index_of(table)), duration(0));
    };
    store_view_report out;
    out.sender = w.identity.name;
    out.data_centre = w.identity.data_centre;
    out.incarnation = w.identity.incarnation.value();
    out.sequence = ++view.sequence;
    out.sent_at = w.now.time_since_epoch();
    out.era = w.proxy.store.era;
    out.from_version = view.steps.empty() ? version : view.steps.front().base;
    out.version = version;
    out.instances_age = age(polled_table::instances);
    out.configuration_version = w.proxy.routing->version;
    out.configuration_age = age(polled_table::configuration);
    if (view.changes.size() <= max_reported_changes)
    {
        std::ranges::transform(view.changes, std::back_inserter(out.changes),
                               &view_change::instance);
    }
    return out;
}

void send_report(world &w)
{
    auto names = local_peers(w);
    std::ranges::copy(remote_hubs(w), std::back_inserter(names));
    peer_report<store_view_report> out;
    out.to = addresses_of(w, names);
    out.report = std::make_shared<store_view_report const>(make_report(w));
    if (!out.to.empty())
    {
        w.out.store_view_reports.push_back(std::move(out));
    }
}

/// @return true when this daemon has a newer configuration that nobody has
///         announced to it, since no reader is heard at present
bool found_configuration(world const &w)
{
    auto const &view = *w.proxy.store_view;
    auto const version = w.proxy.routing->version;
    return view.shared_configuration != 0 &&
           version > view.shared_configuration &&
           version > view.fetch.announced_version;
}

/// @return name of the neighbour to ask: the one that announced the version,
///         then others at random; empty when none is known
std::string next_neighbour(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    auto const announcer = w.proxy.daemons.find(fetch.announced_by);
    if (fetch.attempts == 0 && announcer != w.proxy.daemons.end() &&
        !announcer->second.address.empty())
    {
        return announcer->first;
    }
    auto names = all_peers(w);
    std::erase_if(names, [&w](std::string const &name)
                  { return w.proxy.daemons.at(name).address.empty(); });
    return names.empty() ? std::string() : names[w.random.below(names.size())];
}

void ask_neighbour(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    auto const name = next_neighbour(w);
    if (name.empty())
    {
        fetch.start_check_done = true;
        return;
    }
    ++fetch.attempts;
    fetch.in_flight = true;
    w.out.configuration_fetches.push_back(
        {name, w.proxy.daemons.at(name).address});
}

/// @return true when a daemon that starts has yet to compare the configuration
///         of the store with that of its neighbours
bool start_check_is_due(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    auto const &daemons = poll_state_of(w, polled_table::daemons);
    if (fetch.start_check_done || w.proxy.store.era == 0 ||
        w.proxy.routing->version == 0 || !daemons.fully_read)
    {
        return false;
    }
    if (fetch.start_check_ends == instant{})
    {
        fetch.start_check_ends = w.now + max_start_check;
    }
    fetch.start_check_done =
        fetch.attempts >= max_neighbours || w.now >= fetch.start_check_ends;
    wake_at(w, fetch.start_check_ends);
    return !fetch.start_check_done;
}

/// @return true when a neighbour must be asked, since the store does not give
///         the announced configuration
bool announced_configuration_is_due(world &w)
{
    auto const &fetch = w.proxy.store_view->fetch;
    return newer_configuration_announced(w) &&
           (poll_state_of(w, polled_table::configuration).failures > 0 ||
            w.now >= fetch.announced_at + own_read_time);
}

/// Asks a neighbour now and then while the store does not answer this daemon,
/// since the announcement of a newer configuration may have been lost.
void ask_while_refused(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    auto const &poll_state = poll_state_of(w, polled_table::configuration);
    if (is_mesh(w) || poll_state.failures == 0)
    {
        return;
    }
    auto const due = std::max(
        fetch.next_attempt,
        w.proxy.store_view->known_at.at(index_of(polled_table::configuration)) +
            neighbour_pause);
    if (w.now < due)
    {
        wake_at(w, due);
        return;
    }
    fetch.next_attempt = w.now + neighbour_pause;
    // Any neighbour, not only the last one that announced a version.
    fetch.attempts = 1;
    ask_neighbour(w);
}

void fetch_configuration(world &w)
{
    auto &fetch = w.proxy.store_view->fetch;
    bool const checks_at_start = start_check_is_due(w);
    if (fetch.in_flight)
    {
        return;
    }
    if (checks_at_start)
    {
        ask_neighbour(w);
        return;
    }
    if (!newer_configuration_announced(w))
    {
        ask_while_refused(w);
        return;
    }
    if (!announced_configuration_is_due(w))
    {
        wake_at(w, fetch.announced_at + own_read_time);
        return;
    }
    if (fetch.attempts >= max_neighbours)
    {
        fetch.attempts = 0;
        fetch.next_attempt = w.now + neighbour_pause;
        // A version that no neighbour has is not waited for.
        fetch.announced_version = w.proxy.routing->version;
        return;
    }
    if (w.now < fetch.next_attempt)
    {
        wake_at(w, fetch.next_attempt);
        return;
    }
    ask_neighbour(w);
}

} // namespace

void receive_store_views(world &w)
{
    auto &view = store_view_of(w);
    take_over_fetched_configuration(w);
    std::ranges::for_each(w.in.store_view_reports, [&](auto const &report)
                          { ++view.report_counts[accept_report(w, *report)]; });
    if (view.next_reader_choice <= w.now)
    {
        view.next_reader_choice = w.now + choice_interval;
        choose_readers(w);
        remove_lost_senders(w);
        expire_changes(w);
    }
}

void share_store_reads(world &w)
{
    auto &view = *w.proxy.store_view;
    view.step_base = poll_state_of(w, polled_table::instances).version;
    bool const has_news = std::exchange(view.has_news, false);
    bool const shares =
        shares_reads(w) && poll_state_of(w, polled_table::instances).fully_read;
    if (shares && (view.is_reader ? has_news : found_configuration(w)))
    {
        send_report(w);
    }
    view.shared_configuration = w.proxy.routing->version;
    fetch_configuration(w);
}

instant shared_until(world &w, polled_table table, duration interval,
                     duration long_poll_wait)
{
    auto const &view = store_view_of(w);
    auto const &poll_state = poll_state_of(w, table);
    bool const follows = table != polled_table::daemons && shares_reads(w) &&
                         !view.is_reader && poll_state.failures == 0 &&
                         !poll_state.needs_full_read && !store_is_restored(w);
    if (!follows)
    {
        return {};
    }
    auto const spread =
        from_seconds(to_seconds(max_read_spread) *
                     static_cast<double>(
                         rendezvous_weight(reader_hash_key, w.identity.name) %
                         max_read_spread.count()) /
                     static_cast<double>(max_read_spread.count()));
    if (table == polled_table::instances)
    {
        return view.reported_at.at(index_of(table)) + interval + report_slack +
               spread;
    }
    return newer_configuration_announced(w)
               ? instant{}
               : view.reported_at.at(index_of(table)) + long_poll_wait +
                     configuration_slack + spread;
}

bool newer_configuration_announced(world &w)
{
    return store_view_of(w).fetch.announced_version > w.proxy.routing->version;
}

void record_store_read(world &w, row_read const &read)
{
    auto &view = store_view_of(w);
    auto const i = index_of(read.table);
    view.read_eras.at(i) = w.proxy.store.era;
    view.read_newest_versions.at(i) = view.newest_version;
    view.read_delays.at(i) = duration(0);
    if (read.after_key.empty())
    {
        // A table that is read page by page is as old as its first page.
        view.read_sent_at.at(i) = w.now;
    }
    view.read_waits.at(i) = read.long_poll_wait;
    ++view.read_counts[view.is_reader ? "for_others" : "own"];
}

bool is_older_answer(world &w, row_read_reply const &reply)
{
    auto &view = store_view_of(w);
    auto const newest = view.read_newest_versions.at(index_of(reply.table));
    if (reply.version >= newest)
    {
        return false;
    }
    ++view.older_answers[std::string(name_of(reply.table))];
    log_proxied_request(w, log_level::warning, "store_answer_older",
                        {{"table", std::string(name_of(reply.table))},
                         {"full", reply.full ? "true" : "false"},
                         {"version", std::to_string(reply.version)},
                         {"newest_version", std::to_string(newest)},
                         {"rows", std::to_string(reply.instances.size())}});
    return true;
}

void record_store_answer(world &w, row_read_reply const &reply,
                         std::uint64_t version_before)
{
    auto &view = store_view_of(w);
    auto const i = index_of(reply.table);
    auto const sent_at = view.read_sent_at.at(i);
    view.newest_version = std::max(view.newest_version, reply.version);
    // The store ends a long poll without changes at the end of the wait.
    bool const held_to_end = reply.table == polled_table::configuration &&
                             !reply.configuration &&
                             w.now >= sent_at + view.read_waits.at(i);
    if (!reply.full || !reply.truncated)
    {
        view.known_at.at(i) =
            std::max(view.known_at.at(i),
                     held_to_end ? sent_at + view.read_waits.at(i) : sent_at);
        view.has_news |= reply.table != polled_table::daemons;
    }
    if (reply.table != polled_table::instances)
    {
        return;
    }
    if (reply.full)
    {
        // The changes that a full read shows cannot be told by their versions.
        view.steps.clear();
        view.changes.clear();
        view.step_base = 0;
        return;
    }
    view.step_base = version_before;
    view.steps.push_back({version_before, w.now});
}

void record_instance_change(
    world &w, std::string const &id, std::uint64_t row_version,
    std::optional<instance_definition> const &definition)
{
    auto &view = store_view_of(w);
    if (is_mesh(w) || view.step_base == 0)
    {
        return;
    }
    std::erase_if(view.changes, [&id](view_change const &change)
                  { return change.instance.id == id; });
    view.changes.push_back({view.step_base, {id, row_version, definition}});
}

bool awaits_first_read_of_announced(world &w)
{
    auto const &view = store_view_of(w);
    return newer_configuration_announced(w) &&
           view.read_sent_at.at(index_of(polled_table::configuration)) <=
               view.fetch.announced_at;
}

bool has_checked_neighbours(world const &w)
{
    auto const &view = w.proxy.store_view;
    return w.proxy.store.era == 0 || (view && view->fetch.start_check_done);
}

} // namespace agateledge
