#ifndef AGATELEDGE_FOLLOW_CHANGES_HPP
#define AGATELEDGE_FOLLOW_CHANGES_HPP

namespace agateledge
{

struct world;

/// Processes the notices that other daemons are changing an engine: removes
/// those whose change has ended or that were not renewed in time, and moves
/// this daemon's open work off the engine after the drain time-out.
void follow_changes(world &w);

} // namespace agateledge

#endif
