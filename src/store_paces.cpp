#include "store_paces.hpp"

#include "fleet_interval.hpp"
#include "relay_state.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Part of the drain limit that is reserved for the duration of a read from a
/// slow store and for requests that were placed just before its reply.
constexpr duration read_margin = milliseconds(1300);

/// Interval of reads of the instances while their rows are being rewritten
/// after an outage of the store; also the lower limit of the interval.
constexpr duration min_instances_interval = milliseconds(700);

/// Lower limit of the long-poll wait of a read of the configuration.
constexpr duration min_long_poll_wait = milliseconds(500);

/// Time to detect a broken connection, in addition to the long-poll wait and
/// the timeout.
constexpr duration reconnect_margin = milliseconds(300);

/// Interval at which a daemon renews its row; grows with the fleet between
/// these limits.
constexpr duration min_row_interval = seconds(5);
constexpr double max_daemons_at_min_interval = 30;
constexpr duration max_row_interval = seconds(20);

/// Interval of reads of the daemons' rows until another daemon is known. All
/// daemons of a fleet start within a second.
constexpr duration discovery_interval = seconds(1);

/// A daemon is considered stopped after this many renewal intervals plus the
/// time that a row takes to become visible.
constexpr int max_missed_renewals = 3;
constexpr duration row_visibility_delay = seconds(1);

} // namespace

duration daemon_row_interval(relay_state const &relay)
{
    return fleet_interval(relay.sharing_daemons(), max_daemons_at_min_interval,
                          min_row_interval, max_row_interval);
}

duration daemon_row_lifetime(relay_state const &relay)
{
    return max_missed_renewals * daemon_row_interval(relay) +
           row_visibility_delay;
}

poll_schedule poll_schedule_of(relay_state const &relay, followed_table table,
                               bool restored)
{
    auto const &limits = relay.limits;
    switch (table)
    {
    case followed_table::configuration:
        return {duration(0),
                std::max<duration>(limits.reconnect_bound - store_read_timeout -
                                       reconnect_margin,
                                   min_long_poll_wait)};
    case followed_table::instances:
    {
        auto const regular = std::max<duration>(
            limits.drain_bound - read_margin, min_instances_interval);
        return {restored ? min_instances_interval : regular, duration(0)};
    }
    case followed_table::daemons:
        return {relay.daemons.size() < 2 ? discovery_interval
                                         : daemon_row_interval(relay),
                duration(0)};
    }
    return {};
}

} // namespace agateledge
