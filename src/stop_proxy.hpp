#ifndef AGATELEDGE_STOP_PROXY_HPP
#define AGATELEDGE_STOP_PROXY_HPP

#include "ids.hpp"

namespace agateledge
{

struct world;

/// @return true when the daemon is shutting down and sends no further request
///         to an instance, because it might not finish before the exit
bool admission_closed(world const &w);

/// Refuses a request that has not run; the retry reaches another daemon.
void refuse_while_stopping(world &w, request_number number);

/// Carries out a graceful shutdown: arriving requests are still served, and the
/// process may exit once no request has been open for some time, or shortly
/// before it would be killed.
///
/// @param w state of the daemon
void stop_proxy(world &w);

} // namespace agateledge

#endif
