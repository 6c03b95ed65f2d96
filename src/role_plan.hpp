#ifndef AGATELEDGE_ROLE_PLAN_HPP
#define AGATELEDGE_ROLE_PLAN_HPP

#include "engine_role.hpp"
#include "time.hpp"

#include <deque>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// Demand for one service at this daemon: moving averages, and sums that have
/// not been added to them.
struct service_demand
{
    double prompt_tokens_per_second = 0;
    double output_tokens_per_second = 0;
    /// Sum of the goodput weights of the requests that arrive per second.
    double weight_per_second = 0;
    /// Sums since `counted_at`.
    double prompt_tokens = 0;
    double output_tokens = 0;
    double weight = 0;
};

/// Change of one engine from one role to another.
struct role_move
{
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;

    auto operator<=>(role_move const &) const = default;
};

/// State that `plan_role_changes` keeps between ticks.
struct role_plan
{
    std::unordered_map<std::string, service_demand> demand;
    instant counted_at{};
    instant next_plan{};
    /// Move that the last plan favoured, and the number of consecutive plans
    /// that favoured it.
    role_move favoured;
    int consecutive_plans = 0;
    /// Times of the role changes ordered within the last hour.
    std::deque<instant> changes;
};

} // namespace agateledge

#endif
