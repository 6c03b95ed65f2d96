#include "request_limit_table.hpp"

#include "instance_definition.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace agateledge
{

namespace
{

/// Time for which a daemon may make up for requests that it did not send.
constexpr duration max_arrears = milliseconds(500);

/// Lower limit of the requests a second of all daemons: an instance that names
/// a smaller limit, or 0, is still asked now and then, because only its replies
/// tell when the limit has ended.
constexpr double min_requests_per_s = 0.5;

duration send_interval(double limit, double daemons)
{
    return from_seconds(daemons / std::max(limit, min_requests_per_s));
}

/// Skips the requests that are too long overdue to be made up for.
instant without_old_arrears(instant next, instant now, duration interval)
{
    auto const oldest = now - max_arrears;
    if (next >= oldest)
    {
        return next;
    }
    auto const skipped =
        std::ceil(to_seconds(oldest - next) / to_seconds(interval));
    return next + from_seconds(skipped * to_seconds(interval));
}

} // namespace

bool request_limit_table::apply(limit_statement const &statement,
                                double daemons, double start)
{
    auto const known = entries_.find(statement.incarnation);
    bool const had_limit = known != entries_.end() && known->second.limit;
    if (!statement.limit)
    {
        if (!had_limit || statement.sent_at < known->second.named_at)
        {
            return false;
        }
        known->second.limit.reset();
        known->second.ended_by_call_sent_at = statement.sent_at;
        return true;
    }
    if (known != entries_.end() && !had_limit &&
        statement.sent_at < known->second.ended_by_call_sent_at)
    {
        return false;
    }
    auto &item = find_or_add(statement.incarnation);
    auto const interval = send_interval(*statement.limit, daemons);
    if (!had_limit)
    {
        item.next_send =
            statement.received_at + from_seconds(start * to_seconds(interval));
    }
    item.next_send = std::min(item.next_send, statement.received_at + interval);
    item.limit = statement.limit;
    item.named_at = statement.received_at;
    return !had_limit;
}

void request_limit_table::record_send(instance_definition const &instance,
                                      instant now, double daemons)
{
    auto const found = find(instance);
    if (found == entries_.end() || !found->second.limit)
    {
        return;
    }
    auto &item = entries_.at(found->first);
    auto const interval = send_interval(*item.limit, daemons);
    item.next_send =
        without_old_arrears(item.next_send, now, interval) + interval;
}

instant request_limit_table::next_send(instance_definition const &instance,
                                       instant now, double daemons) const
{
    auto const found = find(instance);
    if (found == entries_.end() || !found->second.limit)
    {
        return instant{};
    }
    return without_old_arrears(found->second.next_send, now,
                               send_interval(*found->second.limit, daemons));
}

std::optional<double>
request_limit_table::share_of(instance_definition const &instance,
                              double daemons) const
{
    auto const found = find(instance);
    if (found == entries_.end() || !found->second.limit)
    {
        return std::nullopt;
    }
    return 1 / to_seconds(send_interval(*found->second.limit, daemons));
}

std::size_t request_limit_table::size() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](entry_map::value_type const &item)
                              { return item.second.limit.has_value(); }));
}

request_limit_table::entry_map::const_iterator
request_limit_table::find(instance_definition const &instance) const
{
    if (entries_.empty())
    {
        return entries_.end();
    }
    auto const first = entries_.lower_bound(
        {instance.id, {}, std::numeric_limits<std::int64_t>::min()});
    auto const found =
        std::find_if(first, entries_.end(),
                     [&instance](entry_map::value_type const &item)
                     {
                         return item.first.id != instance.id ||
                                is_same_incarnation(item.first, instance);
                     });
    return found != entries_.end() && found->first.id == instance.id
               ? found
               : entries_.end();
}

request_limit_table::entry &
request_limit_table::find_or_add(instance_incarnation const &incarnation)
{
    auto const [place, added] = entries_.try_emplace(incarnation);
    auto &item = place->second;
    if (added && entries_.size() > max_entries)
    {
        item.named_at = instant::max();
        entries_.erase(
            std::ranges::min_element(entries_, {},
                                     [](entry_map::value_type const &other)
                                     { return other.second.named_at; }));
    }
    return item;
}

} // namespace agateledge
