#ifndef AGATELEDGE_TRACK_ENGINES_HPP
#define AGATELEDGE_TRACK_ENGINES_HPP

namespace agateledge
{

struct world;

/// Stores this tick's load reports with the time of their measurement; a report
/// that is older than the stored one is dropped. Applies the tick's cache
/// events and rebuilds the candidate index when that is due.
void track_engines(world &w);

} // namespace agateledge

#endif
