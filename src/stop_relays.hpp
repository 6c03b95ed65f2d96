#ifndef AGATELEDGE_STOP_RELAYS_HPP
#define AGATELEDGE_STOP_RELAYS_HPP

namespace agateledge
{

struct world;

/// Carries out a graceful shutdown: requests that arrive meanwhile are still
/// served, and the process may exit once none has been open for a while, or
/// shortly before it would be ended by force.
///
/// @param w the daemon
void stop_relays(world &w);

} // namespace agateledge

#endif
