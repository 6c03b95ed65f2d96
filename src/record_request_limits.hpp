#ifndef AGATELEDGE_RECORD_REQUEST_LIMITS_HPP
#define AGATELEDGE_RECORD_REQUEST_LIMITS_HPP

namespace agateledge
{

struct world;

/// Records the request limits that instances name in the heads of their replies
/// to any call, and the ends of these limits.
///
/// @param w state of the daemon
void record_request_limits(world &w);

} // namespace agateledge

#endif
