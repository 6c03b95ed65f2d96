#ifndef AGATELEDGE_FOLLOW_CHANGES_HPP
#define AGATELEDGE_FOLLOW_CHANGES_HPP

namespace agateledge
{

struct world;

/// Acts on notices that other daemons are changing an engine: ends those whose
/// change is over or was not confirmed lately, and moves the open work of this
/// daemon that outlasts the drain.
void follow_changes(world &w);

} // namespace agateledge

#endif
