#ifndef AGATELEDGE_ESTIMATE_LOAD_HPP
#define AGATELEDGE_ESTIMATE_LOAD_HPP

#include "ids.hpp"

namespace agateledge
{

struct world;

/// Present work on an engine, from all daemons.
struct load_estimate
{
    double requests = 0;
    double prefill_tokens = 0;
    double kv_tokens = 0;
};

/// Estimates an engine's load from the own work, the peers' heartbeats and the
/// last report. The others' part of a report loses its weight with its age in
/// favour of the mean of the role, so that an old idle report is not idle.
load_estimate estimate_load(world const &w, engine_index engine);

/// @return the work of others that the engine's last report shows, as it was
///         when it was measured
load_estimate reported_others(world const &w, engine_index engine);

} // namespace agateledge

#endif
