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
        bool const avoided =
            request.avoid_engine && *request.avoid_engine == engine_index(i);
        if (avoided)
        {
            continue;
        }
        if (!best || open_requests(engine) < open_requests(w.engines.at(*best)))
        {
            best = engine_index(i);
        }
    }
    bool const last_resort = !best && request.avoid_engine &&
                             w.engines.at(*request.avoid_engine).takes_work();
    return last_resort ? request.avoid_engine : best;
}

} // namespace agateledge
