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
/// @return the endpoint, or nothing when none of the service takes work
std::optional<endpoint_index> select_endpoint(world &w,
                                              request_state const &request);

} // namespace agateledge

#endif
