#ifndef AGATELEDGE_BENCH_ORACLE_HPP
#define AGATELEDGE_BENCH_ORACLE_HPP

#include "bench_run.hpp"

namespace agateledge
{

/// Reference policy with perfect information: routes by the engines' current
/// state and the actual answer lengths, knows the mix in advance, runs several
/// role plans and returns the score of the best.
bench_score run_oracle(workload const &load, bench_scenario const &scenario,
                       std::uint64_t seed);

} // namespace agateledge

#endif
