// Guards against a role change that interrupts an answer: before its order is
// sent, an engine must have no open work of any daemon, and answers that
// outlast the drain must be completed by another engine.
#include "renew_leases.hpp"
#include "request_order.hpp"
#include "standin_answer.hpp"
#include "virtual_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace agateledge
{
namespace
{

constexpr int answer_tokens = 300;

configuration two_engines(duration drain_timeout)
{
    configuration config;
    config.revision = revision_number(1);
    config.services = {{"assistant", false, "manual"}};
    request_class kind;
    kind.name = "question";
    kind.service = "assistant";
    kind.may_wait = true;
    config.classes = {kind};
    config.policy.drain_timeout = drain_timeout;
    for (auto const *name : {"engine-0", "engine-1"})
    {
        engine_definition engine;
        engine.name = name;
        engine.data_centre = "rennes-a";
        engine.service = "assistant";
        engine.model = "manual";
        config.engines.push_back(engine);
    }
    return config;
}

/// Two daemons and two engines with long answers in progress, and an order for
/// one of the engines.
class draining_deployment
{
public:
    explicit draining_deployment(duration drain_timeout)
        : deployment(two_engines(drain_timeout), {"rennes-a", "rennes-a"}, 1)
    {
        deployment.on_reply = [this](std::size_t, caller_reply const &reply)
        {
            texts[reply.request.value()] += reply.text;
            finished += reply.kind == caller_reply_kind::finished ? 1 : 0;
        };
        deployment.on_order = [this](engine_order const &order, order_outcome)
        {
            if (work_at_order < 0)
            {
                ordered_at = deployment.now();
                work_at_order =
                    deployment.engines().at(order.engine).model->load().running;
            }
        };
        run(seconds(3));
    }

    void run(duration length)
    {
        deployment.run_until(deployment.now() + length);
    }

    void submit(std::size_t daemon, std::uint64_t number)
    {
        request_arrival arrival;
        arrival.request = request_number(number);
        arrival.model = "manual";
        arrival.prompt_tokens = 100;
        arrival.max_output_tokens = answer_tokens;
        arrival.seed = number;
        deployment.submit(daemon, arrival);
    }

    /// Starts four answers and requests a role change of `engine-0`.
    void begin()
    {
        for (std::uint64_t number = 1; number <= 4; ++number)
        {
            submit(number % 2, number);
            run(milliseconds(300));
        }
        engine_order wanted;
        wanted.engine = "engine-0";
        wanted.role = engine_role::prefill;
        for (auto &daemon : deployment.daemons())
        {
            accepted_requests += request_order(*daemon.state, wanted) ? 1 : 0;
        }
        work_at_request =
            deployment.engines().at("engine-0").model->load().running;
    }

    void expect_complete_answers()
    {
        EXPECT_EQ(finished, 4);
        for (auto const &[number, text] : texts)
        {
            EXPECT_EQ(text, standin_answer(number, answer_tokens));
        }
    }

    virtual_deployment deployment;
    std::map<std::uint64_t, std::string> texts;
    int finished = 0;
    int accepted_requests = 0;
    int work_at_request = 0;
    int work_at_order = -1;
    instant ordered_at{};
};

TEST(drain_before_order, the_order_waits_for_the_work_of_all_daemons)
{
    draining_deployment run(seconds(30));
    run.begin();
    EXPECT_EQ(run.accepted_requests, 1);
    EXPECT_GT(run.work_at_request, 0);
    run.run(seconds(20));
    EXPECT_EQ(run.work_at_order, 0);
    run.expect_complete_answers();
    EXPECT_EQ(run.deployment.engines().at("engine-0").model->load().role,
              engine_role::prefill);
}

TEST(drain_before_order, work_that_outlasts_the_drain_continues_elsewhere)
{
    draining_deployment run(seconds(1));
    run.begin();
    EXPECT_GT(run.work_at_request, 0);
    run.run(seconds(3));
    EXPECT_EQ(run.work_at_order, 0);
    EXPECT_LT(run.finished, 4);
    run.run(seconds(20));
    run.expect_complete_answers();
}

TEST(drain_before_order, no_order_waits_for_work_when_the_drain_is_skipped)
{
    draining_deployment run(seconds(30));
    for (auto &daemon : run.deployment.daemons())
    {
        daemon.state->faults.skip_drain = true;
    }
    run.begin();
    run.run(seconds(20));
    EXPECT_GT(run.work_at_order, 0);
}

} // namespace
} // namespace agateledge
