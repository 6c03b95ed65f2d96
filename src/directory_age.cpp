#include "directory_age.hpp"

#include "poll_schedule.hpp"
#include "store_view_state.hpp"
#include "world.hpp"

#include <cstddef>

namespace agateledge
{

namespace
{

constexpr auto instances_index =
    static_cast<std::size_t>(polled_table::instances);

/// Time by which an ordinary main loop may delay the reply to a read, or its
/// timeout.
constexpr duration max_loop_delay = milliseconds(500);

/// Failed reads in a row from which on the store counts as away. One answer may
/// be lost.
constexpr int min_failures_of_outage = 2;

/// The same for reads that a late main loop may have failed. Requests do not
/// wait longer for a directory that this daemon is too busy to read.
constexpr int min_late_failures_of_outage = 5;

/// @return true when the reply to a read, or to its retry, is expected
bool expects_reply(world const &w)
{
    auto const &view = *w.proxy.store_view;
    auto const &poll_state = w.proxy.table_polls.at(instances_index);
    auto const due = view.read_sent_at.at(instances_index) +
                     instances_read_timeout + max_loop_delay +
                     view.read_delays.at(instances_index);
    return poll_state.timely_failures < min_failures_of_outage &&
           poll_state.failures < min_late_failures_of_outage && w.now < due;
}

} // namespace

std::optional<instant> directory_known_at(world const &w)
{
    auto const &view = w.proxy.store_view;
    auto const known_at = view ? view->known_at.at(instances_index) : instant{};
    return known_at == instant{} ? std::nullopt : std::optional(known_at);
}

std::optional<instant> directory_valid_until(world const &w)
{
    auto const known_at = directory_known_at(w);
    if (!known_at)
    {
        return std::nullopt;
    }
    auto const until = *known_at + w.proxy.limits.drain_bound - delivery_time;
    return until > w.now || expects_reply(w) ? std::optional(until)
                                             : std::nullopt;
}

bool is_directory_overdue(world const &w)
{
    auto const known_at = directory_known_at(w);
    return known_at && !directory_valid_until(w) &&
           *known_at + w.proxy.limits.drain_bound - delivery_time <= w.now;
}

bool awaits_directory(world const &w)
{
    auto const until = directory_valid_until(w);
    return until && *until <= w.now;
}

} // namespace agateledge
