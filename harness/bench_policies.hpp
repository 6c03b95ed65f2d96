#ifndef AGATELEDGE_BENCH_POLICIES_HPP
#define AGATELEDGE_BENCH_POLICIES_HPP

#include "bench_run.hpp"

#include <string>
#include <vector>

namespace agateledge
{

/// @return the names of all policies: the product, the baselines, the oracle
std::vector<std::string> policy_names();

/// Sets the decision hooks of every daemon for a policy other than the oracle.
///
/// @throws std::invalid_argument for an unknown name
void install_policy(bench_run &run, std::string const &policy);

} // namespace agateledge

#endif
