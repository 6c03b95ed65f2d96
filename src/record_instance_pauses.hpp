#ifndef AGATELEDGE_RECORD_INSTANCE_PAUSES_HPP
#define AGATELEDGE_RECORD_INSTANCE_PAUSES_HPP

namespace agateledge
{

struct world;

/// Records the pauses that instances ask for when they turn a request away
/// because they are overloaded. Until the end of its pause an incarnation gets
/// no request, no read of its cache and no release of a KV cache. A later reply
/// can lengthen a pause, but not shorten it. Open calls continue: those whose
/// connection is not established yet reach the instance within the connect
/// timeout, or never.
///
/// @param w state of the daemon
void record_instance_pauses(world &w);

} // namespace agateledge

#endif
