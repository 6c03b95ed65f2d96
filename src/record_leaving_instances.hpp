#ifndef AGATELEDGE_RECORD_LEAVING_INSTANCES_HPP
#define AGATELEDGE_RECORD_LEAVING_INSTANCES_HPP

namespace agateledge
{

struct instance_incarnation;
struct world;

/// Records that an incarnation leaves, which is final: whatever its directory
/// entry says from now on, it gets no new request.
///
/// @return true when this was not known
bool record_leave(world &w, instance_incarnation const &incarnation);

/// Records the instances whose replies announce that they leave. Such an
/// incarnation gets no new request, whatever its directory entry says. The
/// record ends some time after the incarnation was last listed; if the start of
/// the incarnation is unknown, some time after its last announcement.
///
/// @param w state of the daemon
void record_leaving_instances(world &w);

} // namespace agateledge

#endif
