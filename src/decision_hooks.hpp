#ifndef AGATELEDGE_DECISION_HOOKS_HPP
#define AGATELEDGE_DECISION_HOOKS_HPP

#include "ids.hpp"

#include <functional>
#include <optional>
#include <string>

namespace agateledge
{

struct engine_order;
struct request_state;
struct world;

/// Replacements for single decisions. A daemon sets none; `policy_bench`
/// installs its baseline policies and its oracle here, so that they share the
/// dispatch code.
struct decision_hooks
{
    /// Replaces the choice of `select_engine`.
    std::function<std::optional<engine_index>(world &, request_state const &)>
        select;
    /// Replaces `plan_role_changes`.
    std::function<void(world &)> plan_roles;
    /// Accepts an order in place of `request_order`.
    std::function<bool(world &, engine_order const &)> order;
    /// Decides whether this daemon may plan for a data centre, in place of the
    /// lease table.
    std::function<bool(world const &, std::string const &)> may_plan_for;
    /// Number of daemons that share the load, in place of the peer table's
    /// count; 0 for none.
    int live_daemons = 0;
    /// Sends requests in order of arrival and refuses none, as a plain load
    /// balancer does.
    bool fifo_queue = false;
};

} // namespace agateledge

#endif
