#ifndef AGATELEDGE_RECEIVE_REQUESTS_HPP
#define AGATELEDGE_RECEIVE_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Takes this tick's arrivals into the request table. A request for an unknown
/// model, service or class is refused as not run; so is every request while
/// the daemon drains. Departed callers cancel their work, except that the
/// outcome of a non-idempotent call is still recorded.
void receive_requests(world &w);

} // namespace agateledge

#endif
