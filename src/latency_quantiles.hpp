#ifndef AGATELEDGE_LATENCY_QUANTILES_HPP
#define AGATELEDGE_LATENCY_QUANTILES_HPP

#include "time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>

namespace agateledge
{

/// Median, 95th and 99th percentile of latencies, estimated without storing
/// them (extended P-square of Boost.Accumulators).
class latency_quantiles
{
public:
    static constexpr std::array levels{0.5, 0.95, 0.99};

    latency_quantiles()
        : values_(boost::accumulators::tag::extended_p_square::probabilities =
                      levels)
    {
    }

    void add(duration latency) { values_(to_seconds(latency)); }

    /// @param level index into `levels`
    /// @return the quantile in seconds
    double quantile(std::size_t level) const
    {
        return boost::accumulators::extended_p_square(values_)[level];
    }

    std::size_t count() const { return boost::accumulators::count(values_); }

    /// @return sum of all latencies in seconds
    double sum() const { return boost::accumulators::sum(values_); }

private:
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square>>
        values_;
};

} // namespace agateledge

#endif
