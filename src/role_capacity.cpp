#include "role_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Fraction of the smaller of the two loads, prefill and decode, that a mixed
/// engine processes at no cost because both share the fixed cost of a step. In
/// the stand-in the fixed cost is 12 ms of a 69 ms step with a prompt chunk.
constexpr double shared_step_fraction = 0.0;

} // namespace

double utilisation(role_counts const &engines, role_rates const &rates,
                   token_demand const &demand)
{
    // Finds by bisection the largest factor by which the demand can be
    // multiplied so that the mixed engines can process what exceeds the
    // capacity of the prefill and decode engines.
    double low = 0.0;
    double high = 64.0;
    constexpr int bisection_steps = 24;
    for (int i = 0; i < bisection_steps; ++i)
    {
        auto const factor = (low + high) / 2;
        auto const prompt_excess = std::max(
            0.0, factor * demand.prompt - engines.prefill * rates.prefill);
        auto const output_excess = std::max(
            0.0, factor * demand.output - engines.decode * rates.decode);
        auto const mixed = prompt_excess / rates.mixed_prefill +
                           output_excess / rates.mixed_decode;
        auto const shared = std::min(prompt_excess / rates.mixed_prefill,
                                     output_excess / rates.mixed_decode);
        bool const fits =
            mixed - shared_step_fraction * shared <= engines.mixed;
        (fits ? low : high) = factor;
    }
    return 1 / std::max(low, 1.0 / 64);
}

double expected_goodput(double utilisation)
{
    // Queueing makes the first requests late somewhat below full utilisation;
    // above it the fraction that can be served at all limits the goodput.
    constexpr double midpoint = 0.97;
    constexpr double width = 0.035;
    auto const in_time = 1 / (1 + std::exp((utilisation - midpoint) / width));
    return std::max(in_time, std::min(1.0, 1 / utilisation) * 0.5);
}

} // namespace agateledge
