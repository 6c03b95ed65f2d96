#ifndef AGATELEDGE_ENGINE_SPEED_HPP
#define AGATELEDGE_ENGINE_SPEED_HPP

#include "time.hpp"

#include <compare>

namespace agateledge
{

struct instance_state;
struct world;

/// Observations of an engine's speed relative to the estimate for its service
/// and role: logarithms of the ratio, weighted by age. Sums of several daemons
/// can be added.
struct speed_samples
{
    double weight = 0;
    double log_sum = 0;
    instant as_of{};

    /// @return the sums, reduced to their weight at `now`
    speed_samples at(instant now) const;

    /// Adds one observation.
    ///
    /// @param ratio observed speed divided by the estimate
    void add(double ratio, double sample_weight, instant now);

    auto operator<=>(speed_samples const &) const = default;
};

/// @return speed of the engine relative to the estimate for its service and
///         role, from the observations of all daemons; 1 without any
double engine_speed(instance_state const &instance, instant now);

/// Updates the speed by which the engine is ranked, which follows the
/// estimate in coarse steps, so that daemons agree on the ranking.
void update_rank_speed(instance_state &instance, instant now);

} // namespace agateledge

#endif
