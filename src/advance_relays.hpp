#ifndef AGATELEDGE_ADVANCE_RELAYS_HPP
#define AGATELEDGE_ADVANCE_RELAYS_HPP

namespace agateledge
{

struct world;

/// Takes the progress of calls to instances: passes answers on, streams by
/// whole events, and decides what a failed call means for its request. A
/// request is sent again only where its route and the proof of what has run
/// allow it.
///
/// @param w the daemon
void advance_relays(world &w);

} // namespace agateledge

#endif
