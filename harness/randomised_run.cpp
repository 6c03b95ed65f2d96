#include "randomised_run.hpp"

#include "example_deployment.hpp"
#include "internal_assert.hpp"
#include "virtual_callers.hpp"
#include "virtual_deployment.hpp"

#include <algorithm>
#include <stdexcept>

namespace agateledge
{

namespace
{

/// Mean time between two calls over all callers.
constexpr duration call_interval = milliseconds(40);

/// Time after the end of fault injection within which all calls must end.
constexpr duration max_settle_time = seconds(200);

/// Turns a failed internal assertion into an exception while it exists.
class assertion_scope
{
public:
    assertion_scope()
    {
        set_assertion_handler([](std::string const &message)
                              { throw std::runtime_error(message); });
    }
    ~assertion_scope() { set_assertion_handler({}); }
    assertion_scope(assertion_scope const &) = delete;
    assertion_scope &operator=(assertion_scope const &) = delete;
};

std::vector<std::string> assign_data_centres(example_deployment const &example,
                                             random_source &random)
{
    constexpr std::uint64_t choices = 4;
    auto const count = 2 + random.below(choices);
    std::vector<std::string> out;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        out.push_back(example.data_centres.at(i % example.data_centres.size()));
    }
    return out;
}

bool all_settled(virtual_deployment &deployment, virtual_callers const &callers)
{
    return callers.all_ended() &&
           std::ranges::all_of(deployment.daemons(),
                               [](virtual_daemon const &daemon)
                               {
                                   return daemon.alive && !daemon.paused &&
                                          daemon.state->requests.size() == 0 &&
                                          daemon.state->claims.size() == 0;
                               });
}

void settle(virtual_deployment &deployment, virtual_callers const &callers)
{
    auto const end = deployment.now() + max_settle_time;
    while (!all_settled(deployment, callers) && deployment.now() < end)
    {
        deployment.run_until(deployment.now() + milliseconds(500));
    }
    internal_assert(callers.all_ended(),
                    "a call has not ended: ", callers.open_call());
    internal_assert(all_settled(deployment, callers),
                    "a daemon has open requests or claims");
}

} // namespace

run_result run_randomised(run_options const &options)
{
    assertion_scope const scope;
    random_source random(options.seed);
    auto const example = make_example_deployment(options.deployment);
    virtual_deployment deployment(
        example.config, assign_data_centres(example, random), random());
    deployment.on_start = [&options](world &w) { w.faults = options.switches; };
    for (auto &daemon : deployment.daemons())
    {
        deployment.on_start(*daemon.state);
    }
    deployment.store_configuration();
    virtual_callers callers(deployment, example, random());
    fault_schedule faults(deployment, callers, random(),
                          options.excluded_faults);
    run_result result;
    try
    {
        callers.begin(call_interval);
        while (result.steps < options.steps)
        {
            ++result.steps;
            deployment.step(instant::max());
        }
        callers.end();
        faults.end();
        settle(deployment, callers);
    }
    catch (std::runtime_error const &failure)
    {
        result.violation = failure.what();
    }
    result.requests = callers.requests();
    result.answered = callers.answered();
    result.faults = faults.fired();
    return result;
}

run_options shrink_run(run_options options)
{
    for (auto const &kind : fault_schedule::kinds())
    {
        auto smaller = options;
        smaller.excluded_faults.insert(kind);
        auto const result = run_randomised(smaller);
        if (!result.violation.empty())
        {
            smaller.steps = result.steps;
            options = smaller;
        }
    }
    return options;
}

} // namespace agateledge
