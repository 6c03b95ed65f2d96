#ifndef AGATELEDGE_ROLE_BASELINES_HPP
#define AGATELEDGE_ROLE_BASELINES_HPP

#include <functional>

namespace agateledge
{

struct world;

/// Baseline that changes one engine's role whenever the prefill engines' queue
/// or the decode engines' batch passes a threshold. It plans for all data
/// centres from one daemon.
std::function<void(world &)> make_threshold_roles();

/// Baseline that sets the roles to the split which the last seconds' reported
/// load asks for, with as many changes as that needs.
std::function<void(world &)> make_greedy_roles();

} // namespace agateledge

#endif
