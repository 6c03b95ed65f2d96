#ifndef AGATELEDGE_ESTIMATE_LOAD_HPP
#define AGATELEDGE_ESTIMATE_LOAD_HPP

#include "ids.hpp"

namespace agateledge
{

struct world;

/// Current work on an engine, from all daemons.
struct load_estimate
{
    double requests = 0;
    double prefill_tokens = 0;
    double kv_tokens = 0;
};

/// Estimates an engine's load from this daemon's open work, the peers'
/// heartbeats and the engine's last load report. The peers' part of a report
/// loses weight with the report's age in favour of the role's mean, so that an
/// outdated report does not make a busy engine look idle.
load_estimate estimate_load(world const &w, engine_index engine);

/// @return the peers' work in the engine's last report, as of the time of its
///         measurement: the reported work without this daemon's own
load_estimate reported_peer_load(world const &w, engine_index engine);

} // namespace agateledge

#endif
