#include "available_from.hpp"

#include "world.hpp"

#include <algorithm>

namespace agateledge
{

instant available_from(world const &w, instance_state const &instance)
{
    auto const &definition = instance.definition;
    if (!definition.accepts_work || instance.address_reused ||
        w.proxy.is_leaving(definition))
    {
        return instant::max();
    }
    return std::max({w.now, instance.health.ejected_until,
                     instance.closed_until, instance.peer_closed_until,
                     w.proxy.paused_until(definition),
                     w.proxy.within_limit_from(definition, w.now)});
}

} // namespace agateledge
