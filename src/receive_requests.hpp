#ifndef AGATELEDGE_RECEIVE_REQUESTS_HPP
#define AGATELEDGE_RECEIVE_REQUESTS_HPP

namespace agateledge
{

struct world;

/// Adds this tick's arrivals to the request table. A request for an unknown
/// model, service or class is refused as not run; so is every request while
/// the daemon drains. The request of a caller that disconnected is cancelled,
/// unless it is a non-idempotent call that may have run: its outcome is still
/// recorded.
void receive_requests(world &w);

} // namespace agateledge

#endif
