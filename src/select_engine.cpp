#include "select_engine.hpp"

#include "world.hpp"

namespace agateledge
{

namespace
{

int open_requests(engine_state const &engine)
{
    return engine.own_requests + engine.peer_requests;
}

} // namespace

std::optional<engine_index> select_engine(world &w,
                                          request_state const &request)
{
    if (w.hooks.select)
    {
        return w.hooks.select(w, request);
    }
    std::optional<engine_index> best;
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        auto const &engine = w.engines.all()[i];
        if (!engine.takes_work() ||
            engine.definition.service != request.kind.service)
        {
            continue;
        }
        if (!best || open_requests(engine) < open_requests(w.engines.at(*best)))
        {
            best = engine_index(i);
        }
    }
    return best;
}

} // namespace agateledge
