#include "routing_configuration.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Callers leave a stream after the longest of these without an event: a fixed
/// time, and multiples of the target of the first event and of the bound on
/// pauses.
constexpr duration shortest_patience = seconds(2);
constexpr int targets_of_patience = 4;
constexpr int pauses_of_patience = 8;

} // namespace

duration route_definition::stream_patience() const
{
    return std::max({duration(shortest_patience),
                     targets_of_patience * target_latency,
                     pauses_of_patience * target_pause.value_or(duration(0))});
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
pause_bounds_of(routing_configuration const &config)
{
    std::map<std::string, duration> out;
    for (auto const &route : config.routes)
    {
        if (!route.target_pause)
        {
            continue;
        }
        for (auto const &item : route.services)
        {
            auto const [place, added] =
                out.try_emplace(item.service, *route.target_pause);
            place->second = std::min(place->second, *route.target_pause);
        }
    }
    return out;
}

} // namespace agateledge
