#include "poll_schedule.hpp"

#include "exchange_topology.hpp"
#include "fleet_interval.hpp"
#include "proxy_state.hpp"
#include "share_store_reads.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Duration of a read from a slow store.
constexpr duration slow_read_time = milliseconds(250);

/// Part of the drain limit that is reserved for a read whose answer is lost,
/// for the one that follows it, and for calls that were placed just before its
/// reply.
constexpr duration read_margin =
    instances_read_timeout +
    std::chrono::duration_cast<duration>(initial_read_backoff *
                                         max_backoff_factor) +
    slow_read_time + delivery_time;

/// Interval of reads of the instances while their rows are being rewritten
/// after an outage of the store; also the lower limit of the interval.
constexpr duration min_instances_interval = milliseconds(700);

/// Lower limit of the long-poll wait of a read of the configuration.
constexpr duration min_long_poll_wait = milliseconds(500);

/// Timeout of a retried read. Retries are not long polls.
constexpr duration retry_timeout = milliseconds(1000);

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

duration daemon_row_interval(proxy_state const &proxy)
{
    return fleet_interval(proxy.effective_fleet_size(),
                          max_daemons_at_min_interval, min_row_interval,
                          max_row_interval);
}

duration daemon_row_lifetime(proxy_state const &proxy)
{
    return max_missed_renewals * daemon_row_interval(proxy) +
           row_visibility_delay;
}

duration read_timeout_of(polled_table table, int failures)
{
    if (table == polled_table::instances)
    {
        return failures % retries_to_longer_timeout == 0
                   ? instances_read_timeout
                   : instances_retry_timeout;
    }
    return failures > 0 ? retry_timeout : store_read_timeout;
}

poll_schedule poll_schedule_of(proxy_state const &proxy, polled_table table,
                               bool restored)
{
    auto const &limits = proxy.limits;
    switch (table)
    {
    case polled_table::configuration:
        return {duration(0),
                std::max<duration>(limits.reconnect_bound - store_read_timeout -
                                       reconnect_margin,
                                   min_long_poll_wait)};
    case polled_table::instances:
    {
        auto const report_lag = is_mesh(proxy) ? duration(0) : max_report_lag;
        auto const regular =
            std::max<duration>(limits.drain_bound - read_margin - report_lag,
                               min_instances_interval);
        return {restored ? min_instances_interval : regular, duration(0)};
    }
    case polled_table::daemons:
        return {proxy.daemons.size() < 2 ? discovery_interval
                                         : daemon_row_interval(proxy),
                duration(0)};
    }
    return {};
}

} // namespace agateledge
