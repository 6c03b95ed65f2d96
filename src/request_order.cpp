#include "request_order.hpp"

#include "apply_configuration.hpp"
#include "meets_target.hpp"
#include "renew_leases.hpp"
#include "world.hpp"

namespace agateledge
{

namespace
{

bool may_change(world const &w, engine_state const &engine,
                engine_order const &wanted)
{
    return engine.configured && engine.report && engine.report->ready &&
           engine.definition.data_centre == w.identity.data_centre &&
           !meets_target(*engine.report, wanted);
}

bool accepts_order(world const &w, std::string const &engine)
{
    auto const found = w.orders.states.find(engine);
    return found == w.orders.states.end() ||
           (found->second.step == order_step::idle &&
            !found->second.requested &&
            w.now >= found->second.quarantined_until);
}

} // namespace

bool request_order(world &w, engine_order const &wanted)
{
    if (w.draining || configuration_stale(w) ||
        !holds_authority(w, w.identity.data_centre) ||
        w.orders.fencing.value() == 0)
    {
        return false;
    }
    auto const index = w.engines.find(wanted.engine);
    if (!index || !may_change(w, w.engines.at(*index), wanted) ||
        !accepts_order(w, wanted.engine))
    {
        return false;
    }
    auto &state = w.orders.states[wanted.engine];
    state.engine = wanted.engine;
    state.requested = wanted;
    state.requested_tries = 1;
    w.orders.active.insert(wanted.engine);
    wake_at(w, w.now);
    return true;
}

} // namespace agateledge
