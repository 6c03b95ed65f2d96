#ifndef AGATELEDGE_DESCRIBE_EFFECTS_HPP
#define AGATELEDGE_DESCRIBE_EFFECTS_HPP

#include "configuration.hpp"

#include <json/json.h>

namespace agateledge
{

struct engine_order;
struct world;

/// Says what putting `next` in force would change and what it would cut.
///
/// @param w the daemon with the configuration in force
/// @param next configuration that would follow
/// @return object with the arrays `changes` and `cuts`
Json::Value describe_effects(world const &w, configuration const &next);

/// Says what an order would do to its engine.
Json::Value describe_effects(world const &w, engine_order const &order);

} // namespace agateledge

#endif
