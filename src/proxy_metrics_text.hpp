#ifndef AGATELEDGE_PROXY_METRICS_TEXT_HPP
#define AGATELEDGE_PROXY_METRICS_TEXT_HPP

#include <string>

namespace agateledge
{

struct world;

/// @return the proxy's metrics in the Prometheus text format
std::string proxy_metrics_text(world const &w);

} // namespace agateledge

#endif
