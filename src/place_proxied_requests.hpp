#ifndef AGATELEDGE_PLACE_PROXIED_REQUESTS_HPP
#define AGATELEDGE_PLACE_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Sends waiting requests to the instances with the earliest predicted answer,
/// in order of priority. A request that no instance can answer before its
/// deadline is refused at once as not run.
///
/// Under more load than the engines carry, requests are not served in order of
/// arrival, which would make all of them late: a request whose first event is
/// predicted after its target is sent with the least urgent priority, so that
/// it yields to those that can still be in time.
///
/// @param w state of the daemon
void place_proxied_requests(world &w);

} // namespace agateledge

#endif
