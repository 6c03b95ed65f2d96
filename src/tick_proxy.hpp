#ifndef AGATELEDGE_TICK_PROXY_HPP
#define AGATELEDGE_TICK_PROXY_HPP

namespace agateledge
{

struct world;

/// Runs one tick of the proxy: applies replies and events, then admits, places
/// and ends requests.
///
/// @param w state of a daemon behind the platform's load balancer
void tick_proxy(world &w);

} // namespace agateledge

#endif
