#ifndef AGATELEDGE_BENCH_RUN_HPP
#define AGATELEDGE_BENCH_RUN_HPP

#include "bench_scenario.hpp"
#include "bench_score.hpp"
#include "role_change_executor.hpp"
#include "virtual_deployment.hpp"
#include "workload.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace agateledge
{

/// Runs one scenario with one policy in virtual time.
class bench_run
{
public:
    /// @param load deployment with the initial roles
    bench_run(workload const &load, bench_scenario scenario,
              std::uint64_t seed);

    /// Runs the scenario, then waits up to 60 s of virtual time for open
    /// requests to end.
    bench_score run();

    virtual_deployment &deployment() { return deployment_; }
    role_change_executor &orders() { return orders_; }
    bench_scenario const &scenario() const { return scenario_; }

    /// @return length of the answer to a request, which only the engine knows
    int output_tokens(std::uint64_t request_seed) const;

private:
    void plan_arrival(instant when);
    void plan_booking(instant when);
    void submit_model_request();
    void submit_booking();
    void plan_faults();
    void break_streams(std::string const &engine, bool only_remote);
    void record_learned_costs(bench_score &score);
    bool is_scored(instant when) const;

    workload const &load_;
    bench_scenario scenario_;
    request_source source_;
    random_source random_;
    virtual_deployment deployment_;
    role_change_executor orders_;
    score_recorder scores_;
    std::unordered_map<std::uint64_t, int> lengths_;
    std::uint64_t last_booking_ = 0;
};

} // namespace agateledge

#endif
