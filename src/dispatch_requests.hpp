#ifndef AGATELEDGE_DISPATCH_REQUESTS_HPP
#define AGATELEDGE_DISPATCH_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Sends waiting requests whose time has come to an engine or endpoint.
/// Non-idempotent calls go to `claim_calls` first. A request for which nothing
/// takes work stays in the queue until its finish deadline and is then refused
/// as not run, if no attempt of it has been made.
void dispatch_requests(world &w);

} // namespace agateledge

#endif
