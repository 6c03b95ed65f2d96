#ifndef AGATELEDGE_APPLY_CHANGE_NOTICES_HPP
#define AGATELEDGE_APPLY_CHANGE_NOTICES_HPP

namespace agateledge
{

struct world;

/// Processes the notices that other daemons are changing an engine: removes
/// those whose change has ended or that were not renewed in time, and moves
/// this daemon's open work off the engine after the drain time-out.
void apply_change_notices(world &w);

} // namespace agateledge

#endif
