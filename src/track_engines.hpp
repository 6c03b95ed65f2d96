#ifndef AGATELEDGE_TRACK_ENGINES_HPP
#define AGATELEDGE_TRACK_ENGINES_HPP

namespace agateledge
{

struct world;

/// Stores this tick's load reports with the time at which they were true. A
/// report that is older than the stored one is dropped.
void track_engines(world &w);

} // namespace agateledge

#endif
