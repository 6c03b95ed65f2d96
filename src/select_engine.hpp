#ifndef AGATELEDGE_SELECT_ENGINE_HPP
#define AGATELEDGE_SELECT_ENGINE_HPP

#include "ids.hpp"

#include <optional>

namespace agateledge
{

struct request_state;
struct world;

/// Chooses the engine for the next attempt of a model request.
///
/// @return the engine, or nothing when no engine of the service can accept the
///         request now
std::optional<engine_index> select_engine(world &w,
                                          request_state const &request);

} // namespace agateledge

#endif
