// Guards against sending work to an engine that fails or runs at a tenth of its
// speed, and against an engine that is never probed again.
#include "policy_world.hpp"
#include "request_lifecycle.hpp"
#include "update_circuits.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

void fail_attempt(world &w, std::uint64_t number)
{
    auto &request = w.requests.add(make_policy_request(w, number, 500));
    auto const &attempt = begin_engine_attempt(w, request, engine_index(0));
    engine_event event;
    event.attempt = attempt.attempt;
    event.kind = engine_event_kind::failed_after_send;
    w.in.engine_events = {event};
    update_circuits(w);
    end_attempt(w, event.attempt);
}

TEST(update_circuits, opens_after_failures_and_probes_after_a_pause)
{
    auto w = make_policy_world({engine_role::mixed});
    auto request = make_policy_request(w, 99, 500);
    EXPECT_TRUE(circuit_allows(w, request, engine_index(0)));
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        fail_attempt(w, i);
    }
    EXPECT_FALSE(circuit_allows(w, request, engine_index(0)));
    w.in = {};
    w.now += seconds(4);
    update_circuits(w);
    EXPECT_FALSE(circuit_allows(w, request, engine_index(0)));
    request.kind.priority = 1;
    EXPECT_TRUE(circuit_allows(w, request, engine_index(0)));
}

TEST(update_circuits, opens_for_a_grey_engine)
{
    auto w = make_policy_world({engine_role::mixed});
    auto &request = w.requests.add(make_policy_request(w, 1, 500));
    auto const &attempt = begin_engine_attempt(w, request, engine_index(0));
    w.costs.engine(engine_index(0)).slowness = 8;
    w.costs.engine(engine_index(0)).samples = 10;
    engine_event event;
    event.attempt = attempt.attempt;
    w.in.engine_events = {event};
    update_circuits(w);
    EXPECT_FALSE(circuit_allows(w, request, engine_index(0)));
}

TEST(update_circuits, a_returned_engine_starts_slowly)
{
    auto w = make_policy_world({engine_role::mixed});
    auto report = make_report("engine-0", engine_role::mixed, 0, 0, {});
    report.ready = false;
    w.in.load_reports = {report};
    update_circuits(w);
    report.ready = true;
    w.in.load_reports = {report};
    update_circuits(w);
    auto const request = make_policy_request(w, 1, 500);
    w.engines.all().front().local_requests = 10;
    EXPECT_FALSE(circuit_allows(w, request, engine_index(0)));
    w.now += seconds(4);
    EXPECT_TRUE(circuit_allows(w, request, engine_index(0)));
}

} // namespace
