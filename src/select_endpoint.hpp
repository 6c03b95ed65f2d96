#ifndef AGATELEDGE_SELECT_ENDPOINT_HPP
#define AGATELEDGE_SELECT_ENDPOINT_HPP

#include "ids.hpp"

#include <optional>

namespace agateledge
{

struct request_state;
struct world;

/// Chooses the endpoint for the next attempt of a call to a plain service.
///
/// @return the endpoint with the fewest open calls of this daemon, or nothing
///         when no endpoint of the service accepts calls; the endpoint of the
///         last failed attempt is chosen only when there is no other
std::optional<endpoint_index> select_endpoint(world &w,
                                              request_state const &request);

} // namespace agateledge

#endif
