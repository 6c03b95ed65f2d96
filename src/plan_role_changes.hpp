#ifndef AGATELEDGE_PLAN_ROLE_CHANGES_HPP
#define AGATELEDGE_PLAN_ROLE_CHANGES_HPP

namespace agateledge
{

struct world;

/// Orders a change of an engine's role when the expected gain in goodput over
/// the planning horizon exceeds the goodput lost while the engine is
/// unavailable by more than `role_change_weight`. Only the holder of a data
/// centre's lease plans for its engines.
void plan_role_changes(world &w);

} // namespace agateledge

#endif
