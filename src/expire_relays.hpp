#ifndef AGATELEDGE_EXPIRE_RELAYS_HPP
#define AGATELEDGE_EXPIRE_RELAYS_HPP

namespace agateledge
{

struct world;

/// Ends the requests whose deadline has passed: the time limit given by the
/// caller or the timeout of the route, whichever is earlier.
///
/// @param w state of the daemon
void expire_relays(world &w);

} // namespace agateledge

#endif
