#ifndef AGATELEDGE_ASSIGN_ENGINE_ROLES_HPP
#define AGATELEDGE_ASSIGN_ENGINE_ROLES_HPP

#include "duty_authority.hpp"
#include "time.hpp"

#include <optional>
#include <string>

namespace agateledge
{

struct world;

/// Changes the roles of engines as `plan_engine_roles` decides, at the daemon
/// that holds `duty::assign_roles`. An engine that is about to change is closed
/// for new work through the load reports first, and ordered when the other
/// daemons know that.
///
/// @param w state of the daemon
/// @param authority authority over `duty::assign_roles` in this tick
void assign_engine_roles(world &w,
                         std::optional<duty_authority> const &authority);

/// Records how long a prompt has waited for its prefill.
///
/// @param delay time of the prefill call beyond that of the prefill itself
void record_prefill_delay(world &w, std::string const &service, duration delay);

} // namespace agateledge

#endif
