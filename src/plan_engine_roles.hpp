#ifndef AGATELEDGE_PLAN_ENGINE_ROLES_HPP
#define AGATELEDGE_PLAN_ENGINE_ROLES_HPP

#include "engine_role.hpp"
#include "time.hpp"

#include <compare>
#include <string>
#include <vector>

namespace agateledge
{

/// Engine whose role may change.
struct role_candidate
{
    std::string instance;
    engine_role role = engine_role::decode;
    /// Speed relative to the mean of the engines in its role.
    double speed = 1;
    /// Calls of all daemons that are open at the engine.
    int open_calls = 0;
    /// The engine can take an order now.
    bool may_change = true;

    auto operator<=>(role_candidate const &) const = default;
};

/// Values that `plan_engine_roles` decides from, for one service.
struct role_view
{
    /// Mean time that prompts have waited for their prefill in the last
    /// seconds.
    duration prefill_delay{};
    /// Engines in prefill or decode role, in ascending order of their ids.
    std::vector<role_candidate> engines;

    auto operator<=>(role_view const &) const = default;
};

/// Engines to change at present.
struct role_changes
{
    engine_role role = engine_role::prefill;
    std::vector<std::string> instances;

    auto operator<=>(role_changes const &) const = default;
};

/// Decides which engines change their role. It answers a mix whose prompts take
/// more prefill than the engines in prefill role have, while streams occupy few
/// slots of the engines that decode: bursts of prompts then wait, although most
/// engines are nearly idle. The reverse change follows when streams crowd the
/// engines that decode and no prompt waits.
///
/// @return the changes; none when the roles suit the load
role_changes plan_engine_roles(role_view const &view);

} // namespace agateledge

#endif
