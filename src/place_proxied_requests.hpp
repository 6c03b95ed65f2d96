#ifndef AGATELEDGE_PLACE_PROXIED_REQUESTS_HPP
#define AGATELEDGE_PLACE_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Sends waiting requests to the instances with the earliest predicted answer,
/// in order of priority. A request that no instance can answer before its
/// deadline is refused at once as not run.
///
/// @param w state of the daemon
void place_proxied_requests(world &w);

} // namespace agateledge

#endif
