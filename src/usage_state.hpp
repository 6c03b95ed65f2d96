#ifndef AGATELEDGE_USAGE_STATE_HPP
#define AGATELEDGE_USAGE_STATE_HPP

#include "ids.hpp"
#include "platform_call.hpp"
#include "time.hpp"
#include "usage_snapshot.hpp"
#include "wall_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agateledge
{

/// Requests that began to run, by window and account.
using window_counts =
    std::map<std::int64_t, std::map<std::string, std::uint64_t>>;

using activity_by_service = std::map<std::string, service_activity>;

/// Largest recent value of the difference between another daemon's time and
/// this daemon's clock. A datagram that is delivered late makes it too small.
struct offset_sample
{
    duration offset{};
    instant taken_at{};
};

/// What one incarnation of another daemon has reported.
struct reported_usage
{
    std::uint64_t sequence = 0;
    std::int64_t open_window = 0;
    /// Highest window that the daemon knows as closed.
    std::int64_t closed_window = 0;
    window_counts counts;
    activity_by_service services;
    offset_sample time;
    instant heard_at{};
};

/// Report of a window whose content is final.
struct pending_report
{
    usage_report report;
    /// The store has the content.
    bool written = false;
    /// A call with this content may have arrived.
    bool sent = false;
    bool accepted = false;
    /// Operation of the call in progress; 0 for none.
    std::uint64_t operation = 0;
    instant call_ends_at{};
    instant next_call{};
    int failures = 0;
    int rejections = 0;
};

/// State of the usage reports.
struct usage_state
{
    wall_clock clock;
    /// Median of the times of all daemons, as the holder announced it last.
    std::optional<offset_sample> fleet_time;
    /// This daemon's counts.
    window_counts counts;
    /// Windows in which open requests to plain endpoints were counted.
    std::unordered_map<request_number, std::int64_t> plain_starts;
    activity_by_service activity;
    /// This daemon's activity that is part of the sums of the fleet.
    activity_by_service summed_activity;
    instant next_snapshot{};
    /// Era of the store that is known, and the last window that another holder
    /// may have reported in the history that the store lost.
    std::uint64_t era = 0;
    std::int64_t uncertain_until = 0;
    /// Reports by sender and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, reported_usage> received;

    // The following members are used while this daemon holds the duty.

    /// Fencing token and era under which the rows were read.
    std::pair<std::uint64_t, std::uint64_t> rows_read_under;
    std::uint64_t read_operation = 0;
    instant read_sent_at{};
    std::uint64_t read_era = 0;
    instant next_read{};
    instant synchronised_at{};
    /// Rows in the store.
    std::set<std::string> rows;
    std::map<std::int64_t, pending_report> pending;
    /// Window whose rows are written with the next renewal of the lease.
    std::optional<std::int64_t> writing;
};

} // namespace agateledge

#endif
