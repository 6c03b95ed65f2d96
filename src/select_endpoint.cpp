#include "select_endpoint.hpp"

#include "update_circuits.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

std::optional<endpoint_index> select_endpoint(world &w,
                                              request_state const &request)
{
    std::optional<endpoint_index> best;
    for (std::uint32_t i = 0; i < w.endpoints.all().size(); ++i)
    {
        auto const &endpoint = w.endpoints.all()[i];
        if (!endpoint.takes_work() ||
            endpoint.definition.service != request.kind.service ||
            request.avoid_endpoint == endpoint_index(i) ||
            !circuit_allows(w, endpoint_index(i)))
        {
            continue;
        }
        if (!best ||
            endpoint.local_requests < w.endpoints.at(*best).local_requests)
        {
            best = endpoint_index(i);
        }
    }
    bool const last_resort =
        !best && request.avoid_endpoint &&
        w.endpoints.at(*request.avoid_endpoint).takes_work();
    return last_resort ? request.avoid_endpoint : best;
}

} // namespace agateledge
