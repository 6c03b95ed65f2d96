#ifndef AGATELEDGE_ENGINE_ROLE_STATE_HPP
#define AGATELEDGE_ENGINE_ROLE_STATE_HPP

#include "engine_role.hpp"
#include "instance_incarnation.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

/// Smoothed delay of the prefills that this daemon has seen.
struct prefill_delay_estimate
{
    duration delay{};
    instant seen_at{};
};

/// Change of an engine's role that is announced or ordered.
struct role_change
{
    std::string instance;
    engine_role role = engine_role::prefill;
    /// Time from which the order may be sent: the other daemons know then that
    /// the engine takes no work.
    instant due_at{};
    /// Number of the order; 0 while it has not been sent.
    std::uint64_t operation = 0;
};

/// State of `assign_engine_roles`.
struct engine_role_state
{
    /// By service.
    std::map<std::string, prefill_delay_estimate> delays;
    std::vector<role_change> changes;
    /// Times until which engines are not changed again, by id.
    std::map<std::string, instant> settled_from;
    instant next_plan{};
    std::uint64_t last_operation = 0;
    /// Orders by the engines' replies.
    std::map<std::string, std::uint64_t> orders;
};

} // namespace agateledge

#endif
