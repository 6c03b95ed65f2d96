#include "routing_configuration.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// A caller abandons a stream after the longest of these times without an
/// event: a fixed minimum, a multiple of the target latency and a multiple of
/// the limit on the gap between events.
constexpr duration min_stream_timeout = seconds(2);
constexpr int target_latency_multiple = 4;
constexpr int max_event_gap_multiple = 8;

} // namespace

duration route_definition::stream_idle_timeout() const
{
    return std::max(
        {duration(min_stream_timeout), target_latency_multiple * target_latency,
         max_event_gap_multiple * max_event_gap.value_or(duration(0))});
}

route_definition const *find_route(routing_configuration const &config,
                                   std::string_view host, std::string_view path)
{
    route_definition const *best = nullptr;
    for (auto const &route : config.routes)
    {
        bool const longer = best == nullptr ||
                            route.path_prefix.size() > best->path_prefix.size();
        if (longer && route.host == host && path.starts_with(route.path_prefix))
        {
            best = &route;
        }
    }
    return best;
}

service_profile const *find_service(routing_configuration const &config,
                                    std::string_view name)
{
    auto const found =
        std::ranges::find(config.services, name, &service_profile::name);
    return found == config.services.end() ? nullptr : &*found;
}

std::map<std::string, duration>
max_event_gap_by_service(routing_configuration const &config)
{
    std::map<std::string, duration> out;
    for (auto const &route : config.routes)
    {
        if (!route.max_event_gap)
        {
            continue;
        }
        for (auto const &item : route.services)
        {
            auto const [place, added] =
                out.try_emplace(item.service, *route.max_event_gap);
            place->second = std::min(place->second, *route.max_event_gap);
        }
    }
    return out;
}

} // namespace agateledge
