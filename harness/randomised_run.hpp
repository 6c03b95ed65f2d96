#ifndef AGATELEDGE_RANDOMISED_RUN_HPP
#define AGATELEDGE_RANDOMISED_RUN_HPP

#include "fault_schedule.hpp"
#include "fault_switches.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

struct run_options
{
    std::uint64_t seed = 1;
    /// Scheduled actions to run while callers and faults are active; the run
    /// then continues until all calls have ended.
    std::uint64_t steps = 100000;
    /// "kerbrat" or "bellhaven".
    std::string deployment = "kerbrat";
    /// Kinds of fault that are not injected.
    std::set<std::string> excluded_faults;
    /// Mechanisms that are disabled in every daemon.
    fault_switches switches;
};

struct run_result
{
    /// Message of the failed assertion; empty when there was none.
    std::string violation;
    /// Actions run while callers and faults were active, up to a violation.
    std::uint64_t steps = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::vector<fired_fault> faults;
};

/// Runs several daemons with callers and faults in virtual time, and checks the
/// replies to callers against the effects that took place.
run_result run_randomised(run_options const &options);

/// Reduces a failing run: excludes each kind of fault in turn if the run still
/// fails without it, and ends the run at the violation.
///
/// @param options a run that fails
/// @return options of the smaller run
run_options shrink_run(run_options options);

} // namespace agateledge

#endif
