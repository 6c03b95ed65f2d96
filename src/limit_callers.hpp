#ifndef AGATELEDGE_LIMIT_CALLERS_HPP
#define AGATELEDGE_LIMIT_CALLERS_HPP

namespace agateledge
{

struct request_arrival;
struct request_class;
struct world;

/// Measures the callers' demand once a second, publishes it for the heartbeats
/// and sets the share of each limit that this daemon grants: its part of the
/// demand that the daemons report, or an equal share without reports.
void limit_callers(world &w);

/// Counts an arrival against the limit of its caller and class.
///
/// @return false when the caller is over its limit
bool within_limit(world &w, request_arrival const &arrival,
                  request_class const &kind);

} // namespace agateledge

#endif
