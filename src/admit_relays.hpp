#ifndef AGATELEDGE_ADMIT_RELAYS_HPP
#define AGATELEDGE_ADMIT_RELAYS_HPP

namespace agateledge
{

struct world;

/// Takes the requests that arrived since the last tick: selects their route and
/// service, bounds their time, and refuses those that no route allows. Also
/// ends the requests whose callers have left.
///
/// @param w the daemon
void admit_relays(world &w);

} // namespace agateledge

#endif
