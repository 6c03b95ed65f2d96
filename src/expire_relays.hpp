#ifndef AGATELEDGE_EXPIRE_RELAYS_HPP
#define AGATELEDGE_EXPIRE_RELAYS_HPP

namespace agateledge
{

struct world;

/// Ends the requests whose time is up: their caller's patience or the timeout
/// of their route has passed.
///
/// @param w the daemon
void expire_relays(world &w);

} // namespace agateledge

#endif
