#ifndef AGATELEDGE_ROLE_BASELINES_HPP
#define AGATELEDGE_ROLE_BASELINES_HPP

#include <functional>

namespace agateledge
{

struct world;

/// Role planner that changes the role of one engine per interval when the mean
/// load of the prefill or of the decode engines exceeds a threshold. It plans
/// for all data centres from one daemon.
std::function<void(world &)> make_threshold_role_planner();

/// Role planner that splits the engines in proportion to the last reported
/// prefill and decode loads, with any number of changes per interval.
std::function<void(world &)> make_greedy_role_planner();

} // namespace agateledge

#endif
