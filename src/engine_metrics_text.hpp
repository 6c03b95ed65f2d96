#ifndef AGATELEDGE_ENGINE_METRICS_TEXT_HPP
#define AGATELEDGE_ENGINE_METRICS_TEXT_HPP

#include <ostream>
#include <string>

namespace agateledge
{

struct world;

/// Writes what the daemon knows of the engines: their learned speeds, how
/// evenly the prompts that wait are spread over them, and the changes of their
/// roles.
///
/// @param out text in the Prometheus format
/// @param w state of the daemon
/// @param prefix beginning of the names of all metrics
void write_engine_metrics(std::ostream &out, world const &w,
                          std::string const &prefix);

} // namespace agateledge

#endif
