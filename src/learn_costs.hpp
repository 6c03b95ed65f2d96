#ifndef AGATELEDGE_LEARN_COSTS_HPP
#define AGATELEDGE_LEARN_COSTS_HPP

namespace agateledge
{

struct world;

/// Learns prefill speeds, step times, batch sizes, prefix hits and output
/// lengths from the tick's engine events and load reports. Must run while the
/// attempts of these events are still open.
void learn_costs(world &w);

} // namespace agateledge

#endif
