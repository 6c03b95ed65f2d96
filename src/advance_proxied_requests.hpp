#ifndef AGATELEDGE_ADVANCE_PROXIED_REQUESTS_HPP
#define AGATELEDGE_ADVANCE_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Handles the replies and failures of calls to instances: forwards answers to
/// callers, streams event by event, and retries or ends the requests of failed
/// calls. A request is retried only if its route allows repeats or no call can
/// have run, and a stream that has begun only if its route is resumable.
///
/// @param w state of the daemon
void advance_proxied_requests(world &w);

} // namespace agateledge

#endif
