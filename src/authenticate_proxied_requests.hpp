#ifndef AGATELEDGE_AUTHENTICATE_PROXIED_REQUESTS_HPP
#define AGATELEDGE_AUTHENTICATE_PROXIED_REQUESTS_HPP

namespace agateledge
{

struct proxy_request_state;
struct world;

/// Sets the client account and the priority of a request, or refuses it when
/// its key is unknown or missing although its route needs one.
///
/// @param w state of the daemon
/// @param request request with a route; forgotten when it is refused
/// @return false when the request was refused
bool authenticate_proxied_request(world &w, proxy_request_state &request);

/// After a change of the configuration, authenticates again the requests of
/// which no call has run, so that a withdrawn key is refused.
///
/// @param w state of the daemon
void refuse_withdrawn_keys(world &w);

} // namespace agateledge

#endif
