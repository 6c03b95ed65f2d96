#ifndef AGATELEDGE_POLL_SCHEDULE_HPP
#define AGATELEDGE_POLL_SCHEDULE_HPP

#include "time.hpp"

namespace agateledge
{

enum class polled_table;
struct proxy_state;

/// How often, and with which long-poll wait, a table of the platform's store is
/// read.
struct poll_schedule
{
    /// Time from the reply to one read until the next read.
    duration interval{};
    /// Time for which the store may delay its reply until there are changes.
    duration long_poll_wait{};

    auto operator<=>(poll_schedule const &) const = default;
};

/// Timeout of a read, in addition to its long-poll wait. A read usually takes
/// 4 ms, and up to 60 times as long while the store is slow.
constexpr duration store_read_timeout = milliseconds(1500);

/// The same for the table of instances, whose age is bounded: several times the
/// duration of a read while the store is slow.
constexpr duration instances_read_timeout = milliseconds(600);

/// The same for retries, so that the daemon knows soon whether the store is
/// away and when it returns; slightly more than a read takes while the store is
/// slow.
constexpr duration instances_retry_timeout = milliseconds(300);

/// Each retry of this number has the longer timeout again, in case the store is
/// slower than expected.
constexpr int retries_to_longer_timeout = 4;

/// Back-off after a failed read; doubles with each consecutive failure.
constexpr duration initial_read_backoff = milliseconds(150);

/// Factors by which a back-off varies at random.
constexpr double min_backoff_factor = 0.5;
constexpr double max_backoff_factor = 1.5;

/// Time that a call needs to reach its instance after it was sent.
constexpr duration delivery_time = milliseconds(200);

/// Time after an outage of the store until an instance whose row is still
/// missing is removed. Running instances have rewritten their rows after 2 s.
constexpr duration missing_row_grace = milliseconds(2200);

/// Derives the read schedule of a table from the limits of the deployment.
/// Calls are billed and share the store's rate limit, so each table is read as
/// rarely as its limit allows.
///
/// @param proxy the daemon's state, with the limits and the size of the fleet
/// @param table the table to read
/// @param restored the store has recovered within `missing_row_grace`
/// @return the schedule
poll_schedule poll_schedule_of(proxy_state const &proxy, polled_table table,
                               bool restored);

/// @param failures failed reads in a row before this one
/// @return timeout of a read of the table, in addition to its long-poll wait
duration read_timeout_of(polled_table table, int failures);

/// @return interval at which a daemon renews its own row; grows with the fleet,
///         so that the total write rate of all daemons stays the same
duration daemon_row_interval(proxy_state const &proxy);

/// @return time after which a daemon whose row was not renewed is considered
///         stopped
duration daemon_row_lifetime(proxy_state const &proxy);

} // namespace agateledge

#endif
