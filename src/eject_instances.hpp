#ifndef AGATELEDGE_EJECT_INSTANCES_HPP
#define AGATELEDGE_EJECT_INSTANCES_HPP

namespace agateledge
{

struct world;

/// Ejects for some seconds the instances whose calls fail more often than those
/// of the other instances of their service. At most half of the instances of a
/// service are ejected at the same time.
///
/// @param w state of the daemon
void eject_instances(world &w);

} // namespace agateledge

#endif
