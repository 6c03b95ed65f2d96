#ifndef AGATELEDGE_PLAN_ROLE_CHANGES_HPP
#define AGATELEDGE_PLAN_ROLE_CHANGES_HPP

namespace agateledge
{

struct world;

/// Orders a change of an engine's role where the expected gain in goodput over
/// the horizon exceeds the cost of the time away and the weight of a change.
/// Only the holder of a data centre's lease plans for its engines.
void plan_role_changes(world &w);

} // namespace agateledge

#endif
