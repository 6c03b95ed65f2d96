#ifndef AGATELEDGE_DISPATCH_REQUESTS_HPP
#define AGATELEDGE_DISPATCH_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Dispatches the waiting requests that are due to an engine or endpoint.
/// Non-idempotent calls are claimed by `claim_calls` first. A request that no
/// target accepts stays in the queue until its finish deadline and is then
/// refused; as not run, if no attempt of it has been made.
void dispatch_requests(world &w);

} // namespace agateledge

#endif
