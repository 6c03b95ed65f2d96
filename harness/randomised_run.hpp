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
    /// Planned actions of the virtual queue while callers and faults are
    /// active; the run then goes on until everything has ended.
    std::uint64_t steps = 100000;
    /// "kerbrat" or "bellhaven".
    std::string deployment = "kerbrat";
    /// Kinds of fault that are not fired.
    std::set<std::string> without;
    /// Mechanisms that are disabled in every daemon.
    fault_switches switches;
};

struct run_result
{
    /// Empty when every promise was kept.
    std::string violation;
    /// Steps taken, at a violation those up to it.
    std::uint64_t steps = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::vector<fired_fault> faults;
};

/// Runs a few daemons with callers and faults in virtual time, and checks what
/// callers are told against what happened.
run_result run_randomly(run_options const &options);

/// Looks for the smallest run that still fails: leaves out kinds of fault one
/// by one and stops at the first violation.
///
/// @param options a run that fails
/// @return options of the smaller run
run_options shrink_run(run_options options);

} // namespace agateledge

#endif
