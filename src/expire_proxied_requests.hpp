#ifndef AGATELEDGE_EXPIRE_PROXIED_REQUESTS_HPP
#define AGATELEDGE_EXPIRE_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Ends the requests whose deadline has passed: the time limit given by the
/// caller or the timeout of the route, whichever is earlier.
///
/// @param w state of the daemon
void expire_proxied_requests(world &w);

} // namespace agateledge

#endif
