#ifndef AGATELEDGE_JUDGE_INSTANCES_HPP
#define AGATELEDGE_JUDGE_INSTANCES_HPP

namespace agateledge
{

struct world;

/// Takes instances out of use for a while whose calls fail more often than
/// those of the other instances of their service. At most half of a service is
/// out of use at the same time.
///
/// @param w the daemon
void judge_instances(world &w);

} // namespace agateledge

#endif
