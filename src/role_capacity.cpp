#include "role_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Part of the smaller kind of work that a mixed engine does for free: prompt
/// chunks and answers share the fixed part of a step. From the stand-in's step
/// (12 ms of 69 ms of a chunk's step).
constexpr double overlap = 0.0;

} // namespace

double utilisation(role_counts const &engines, role_rates const &rates,
                   token_demand const &demand)
{
    // Largest factor on the demand whose excess over the prefill and decode
    // engines fits the mixed ones, by bisection.
    double low = 0.0;
    double high = 64.0;
    constexpr int rounds = 24;
    for (int i = 0; i < rounds; ++i)
    {
        auto const factor = (low + high) / 2;
        auto const prompt_excess = std::max(
            0.0, factor * demand.prompt - engines.prefill * rates.prefill);
        auto const output_excess = std::max(
            0.0, factor * demand.output - engines.decode * rates.decode);
        auto const mixed = prompt_excess / rates.mixed_prefill +
                           output_excess / rates.mixed_decode;
        auto const both = std::min(prompt_excess / rates.mixed_prefill,
                                   output_excess / rates.mixed_decode);
        bool const fits = mixed - overlap * both <= engines.mixed;
        (fits ? low : high) = factor;
    }
    return 1 / std::max(low, 1.0 / 64);
}

double expected_goodput(double utilisation)
{
    // Queues make the first requests late somewhat below full use; above it the
    // share that can be served at all bounds the goodput.
    constexpr double knee = 0.97;
    constexpr double width = 0.035;
    auto const in_time = 1 / (1 + std::exp((utilisation - knee) / width));
    return std::max(in_time, std::min(1.0, 1 / utilisation) * 0.5);
}

} // namespace agateledge
