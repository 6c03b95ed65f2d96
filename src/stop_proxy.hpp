#ifndef AGATELEDGE_STOP_PROXY_HPP
#define AGATELEDGE_STOP_PROXY_HPP

namespace agateledge
{

struct world;

/// Carries out a graceful shutdown: arriving requests are still served, and the
/// process may exit once no request has been open for some time, or shortly
/// before it would be killed.
///
/// @param w state of the daemon
void stop_proxy(world &w);

} // namespace agateledge

#endif
