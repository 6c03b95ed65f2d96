#ifndef AGATELEDGE_LIMIT_CALLERS_HPP
#define AGATELEDGE_LIMIT_CALLERS_HPP

namespace agateledge
{

struct request_arrival;
struct request_class;
struct world;

/// Measures the callers' demand once a second, publishes it for the heartbeats
/// and sets the share of each limit that this daemon grants: its share of the
/// demand that all live daemons report, or an equal share without reports.
void limit_callers(world &w);

/// Counts an arrival and takes a token from the bucket of its caller and class.
///
/// @return false when the bucket is empty: the caller exceeds its limit
bool within_limit(world &w, request_arrival const &arrival,
                  request_class const &kind);

} // namespace agateledge

#endif
