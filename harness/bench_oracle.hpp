#ifndef AGATELEDGE_BENCH_ORACLE_HPP
#define AGATELEDGE_BENCH_ORACLE_HPP

#include "bench_run.hpp"

namespace agateledge
{

/// Upper limit of the bench: routes by the engines' true state and the true
/// lengths of the answers, knows the mix in advance, tries several plans of
/// roles and keeps the best run.
bench_score run_oracle(workload const &load, bench_scenario const &scenario,
                       std::uint64_t seed);

} // namespace agateledge

#endif
