#ifndef AGATELEDGE_ADMIT_PROXIED_REQUESTS_HPP
#define AGATELEDGE_ADMIT_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Admits the requests that arrived since the last tick: selects their route
/// and service, authenticates them, sets their deadlines, and refuses those
/// that match no route or whose key is unknown. Also refuses unsent requests
/// whose key the configuration in force does not have any more, and ends the
/// requests whose callers have disconnected.
///
/// @param w state of the daemon
void admit_proxied_requests(world &w);

} // namespace agateledge

#endif
