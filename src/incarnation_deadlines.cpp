#include "incarnation_deadlines.hpp"

#include "instance_definition.hpp"

#include <algorithm>
#include <limits>

namespace agateledge
{

namespace
{

using entry = std::pair<instance_incarnation const, instant>;

} // namespace

bool incarnation_deadlines::extend(instance_incarnation const &incarnation,
                                   instant deadline)
{
    auto const [place, added] = deadlines_.try_emplace(incarnation, deadline);
    place->second = std::max(place->second, deadline);
    if (added && deadlines_.size() > max_entries)
    {
        deadlines_.erase(
            std::ranges::min_element(deadlines_, {}, &entry::second));
    }
    return added;
}

std::optional<instant>
incarnation_deadlines::find(instance_definition const &instance) const
{
    if (deadlines_.empty())
    {
        return std::nullopt;
    }
    std::optional<instant> latest;
    auto place = deadlines_.lower_bound(
        {instance.id, {}, std::numeric_limits<std::int64_t>::min()});
    for (; place != deadlines_.end() && place->first.id == instance.id; ++place)
    {
        if (is_same_incarnation(place->first, instance))
        {
            latest = std::max(latest, std::optional(place->second));
        }
    }
    return latest;
}

void incarnation_deadlines::extend_if(
    std::function<bool(instance_incarnation const &)> const &applies_to,
    instant deadline)
{
    for (auto &[incarnation, until] : deadlines_)
    {
        if (applies_to(incarnation))
        {
            until = std::max(until, deadline);
        }
    }
}

void incarnation_deadlines::expire(instant now)
{
    std::erase_if(deadlines_,
                  [now](entry const &item) { return item.second <= now; });
}

} // namespace agateledge
