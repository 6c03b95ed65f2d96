#ifndef AGATELEDGE_STORE_VIEW_STATE_HPP
#define AGATELEDGE_STORE_VIEW_STATE_HPP

#include "incarnation_deadlines.hpp"
#include "removed_rows.hpp"
#include "row_messages.hpp"
#include "store_view_report.hpp"
#include "time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Transit time of the datagrams of one sender, above the shortest one seen.
/// The clocks of two hosts differ by an unknown constant, so that only
/// differences can be measured.
class transit_delay
{
public:
    /// @param sent_at time of the send on the sender's clock
    /// @return time for which the datagram was under way, or waited unread,
    ///         longer than the fastest of the last minutes; nothing for the
    ///         first one, whose time is unknown
    std::optional<duration> add(duration sent_at, instant now);

private:
    std::optional<duration> shortest_;
    std::optional<duration> shortest_before_;
    instant period_began_at_{};
};

/// A daemon that sends views of the store.
struct view_sender
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    transit_delay delay;
};

/// Change of an instance, kept for the reports to other daemons.
struct view_change
{
    /// Version of the view before the read that showed the change.
    std::uint64_t base = 0;
    reported_instance instance;
};

/// Version of the view of the instances before one of the last reads.
struct view_step
{
    std::uint64_t base = 0;
    instant at{};
};

/// Fetch of the configuration from other daemons.
struct neighbour_fetch
{
    /// Newest version that another daemon has announced, the daemon that did,
    /// and when.
    std::uint64_t announced_version = 0;
    std::string announced_by;
    instant announced_at{};
    bool in_flight = false;
    /// Neighbours asked one after the other without a result.
    int attempts = 0;
    instant next_attempt{};
    /// The configuration that a neighbour sent; the next tick takes it over.
    std::shared_ptr<routing_configuration const> received;
    /// A daemon that starts asks its neighbours once before it is ready, since
    /// the store may have returned from a copy with an older configuration.
    bool start_check_done = false;
    instant start_check_ends{};
};

/// What a daemon knows of the store beyond the tables themselves.
struct store_view_state
{
    /// Era known when the read in flight, or the last one, was sent, by table.
    std::array<std::uint64_t, polled_table_count> read_eras{};
    /// Highest era in replies to writes; the next tick takes it over.
    std::uint64_t written_era = 0;
    /// Time at which the store was last seen to have returned from a copy.
    std::optional<instant> era_changed_at;
    /// Incarnations whose rows announced that they drain. A copy of the store
    /// may show them as ready again.
    incarnation_deadlines drained;
    /// Instances that had rows, and have none.
    removed_rows removed;
    /// Rows that were older than the known state of their instances.
    std::uint64_t older_rows = 0;
    /// Time as of which each table is known, from own reads and from reports.
    std::array<instant, polled_table_count> known_at{};
    /// The same from reports alone. Without reports, a daemon keeps the
    /// schedule of its own reads.
    std::array<instant, polled_table_count> reported_at{};
    std::array<instant, polled_table_count> read_sent_at{};
    /// Long-poll wait of the read in flight, by table.
    std::array<duration, polled_table_count> read_waits{};
    /// This daemon reads the store for the others of its data centre.
    bool is_reader = false;
    /// Time by which late ticks have held up the read in flight, or the last
    /// one, by table.
    std::array<duration, polled_table_count> read_delays{};
    /// Highest version of the present era in answers and reports.
    std::uint64_t newest_version = 0;
    /// The same when the read in flight, or the last one, was sent, by table.
    std::array<std::uint64_t, polled_table_count> read_newest_versions{};
    /// Answers that were older than what was known when the read was sent, by
    /// table.
    std::map<std::string, std::uint64_t> older_answers;
    /// Version of the instances before the changes of this tick.
    std::uint64_t step_base = 0;
    std::vector<view_step> steps;
    std::vector<view_change> changes;
    /// A read was answered in this tick.
    bool has_news = false;
    /// Version of the configuration at the end of the last tick.
    std::uint64_t shared_configuration = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, view_sender> senders;
    /// Daemons that are expected to read, with the last times at which they
    /// were heard or at which they became expected.
    std::map<std::string, instant> expected_readers;
    instant next_reader_choice{};
    neighbour_fetch fetch;
    std::map<std::string, std::uint64_t> report_counts;
    std::map<std::string, std::uint64_t> fetch_counts;
    std::map<std::string, std::uint64_t> read_counts;
};

struct world;

/// @return the daemon's state of this kind, which the first call creates
store_view_state &store_view_of(world &w);

} // namespace agateledge

#endif
