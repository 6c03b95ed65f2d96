#include "store_paces.hpp"

#include "fleet_interval.hpp"
#include "relay_state.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Part of a bound that is left for one read: the reply of a slow store, and
/// requests that were placed just before it.
constexpr duration read_margin = milliseconds(1300);

/// Pause between reads of the instances while their rows come back after an
/// outage of the store, and the shortest one at all.
constexpr duration restored_pause = milliseconds(700);

/// Shortest hold of a read of the configuration.
constexpr duration shortest_hold = milliseconds(500);

/// Time to notice a broken connection, besides the hold and the timeout.
constexpr duration reconnect_margin = milliseconds(300);

/// Interval of the daemons' rows up to a fleet of this size, and the longest
/// interval of a larger one.
constexpr duration shortest_row_interval = seconds(5);
constexpr double daemons_at_shortest_interval = 30;
constexpr duration longest_row_interval = seconds(20);

/// Pause between reads of the daemons' rows until others are known: all daemons
/// of a fleet start within a second.
constexpr duration first_rows_pause = seconds(1);

/// Intervals, and the time that a row takes to be seen, after which a daemon is
/// not counted.
constexpr int missed_intervals = 3;
constexpr duration row_delay = seconds(1);

} // namespace

duration daemon_row_interval(relay_state const &relay)
{
    return fleet_interval(relay.sharing_daemons(), daemons_at_shortest_interval,
                          shortest_row_interval, longest_row_interval);
}

duration daemon_row_lifetime(relay_state const &relay)
{
    return missed_intervals * daemon_row_interval(relay) + row_delay;
}

store_pace store_pace_of(relay_state const &relay, followed_table table,
                         bool restored)
{
    auto const &limits = relay.limits;
    switch (table)
    {
    case followed_table::configuration:
        return {duration(0),
                std::max<duration>(limits.reconnect_bound - store_read_timeout -
                                       reconnect_margin,
                                   shortest_hold)};
    case followed_table::instances:
    {
        auto const bounded = std::max<duration>(
            limits.drain_bound - read_margin, restored_pause);
        return {restored ? restored_pause : bounded, duration(0)};
    }
    case followed_table::daemons:
        return {relay.daemons.size() < 2 ? first_rows_pause
                                         : daemon_row_interval(relay),
                duration(0)};
    }
    return {};
}

} // namespace agateledge
