#ifndef AGATELEDGE_BENCH_SCENARIO_HPP
#define AGATELEDGE_BENCH_SCENARIO_HPP

#include "time.hpp"

#include <functional>
#include <string>
#include <vector>

namespace agateledge
{

/// Engine or network fault of a scenario.
enum class scenario_fault
{
    none,
    /// An engine becomes unreachable permanently.
    engine_withdrawn,
    /// A data centre is partitioned from the others.
    data_centre_cut,
    /// An engine runs at a tenth of its speed without failing.
    engine_grey,
};

/// Load, mix and faults of a bench run over time.
struct bench_scenario
{
    std::string name;
    duration length = seconds(120);
    /// Load as a share of the capacity, and share of prefill in the work; both
    /// as functions of the seconds since the start.
    std::function<double(double)> load;
    std::function<double(double)> prompt_share;
    scenario_fault fault = scenario_fault::none;
    duration fault_begin = seconds(40);
    duration fault_end = seconds(80);
    duration report_lag = milliseconds(300);
};

/// @return the names of all scenarios; the first is the default
std::vector<std::string> scenario_names();

/// @throws std::invalid_argument for an unknown name
bench_scenario make_scenario(std::string const &name);

} // namespace agateledge

#endif
