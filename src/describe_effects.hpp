#ifndef AGATELEDGE_DESCRIBE_EFFECTS_HPP
#define AGATELEDGE_DESCRIBE_EFFECTS_HPP

#include "configuration.hpp"

#include <json/json.h>

namespace agateledge
{

struct engine_order;
struct world;

/// Describes what would change if `next` came into force, and which service it
/// would reduce.
///
/// @param w state of the daemon, with the configuration in force
/// @param next configuration to compare with the one in force
/// @return object with two arrays of texts: `changes` has the entities that are
///         added, changed or removed; `cuts` has the engines, classes and
///         callers that would get or accept less work
Json::Value describe_effects(world const &w, configuration const &next);

/// Describes what an order would do to its engine.
///
/// @return object with the arrays `changes` and `cuts`, as above
Json::Value describe_effects(world const &w, engine_order const &order);

} // namespace agateledge

#endif
