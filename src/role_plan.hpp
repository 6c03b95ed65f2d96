#ifndef AGATELEDGE_ROLE_PLAN_HPP
#define AGATELEDGE_ROLE_PLAN_HPP

#include "engine_role.hpp"
#include "time.hpp"

#include <deque>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// Mean demand of one service on this daemon.
struct service_demand
{
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    /// Goodput weight of the requests that arrive in a second.
    double weight_per_second = 0;
    /// Sums since `counted_at`.
    double prompt_tokens = 0;
    double output_tokens = 0;
    double weight = 0;
};

/// Change of one engine from a role to another.
struct role_move
{
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;

    auto operator<=>(role_move const &) const = default;
};

/// Memory of `plan_role_changes`.
struct role_plan
{
    std::unordered_map<std::string, service_demand> demand;
    instant counted_at{};
    instant next_plan{};
    /// Move that the last plans favoured, and how many in a row.
    role_move favoured;
    int times_favoured = 0;
    /// Changes of the last hour.
    std::deque<instant> changes;
};

} // namespace agateledge

#endif
