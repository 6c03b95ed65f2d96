// Guards against dispatching requests that can no longer meet their deadline,
// and against refusing requests that may wait.
#include "policy_world.hpp"
#include "tick.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

TEST(latest_start, refuses_as_not_run_what_cannot_be_in_time)
{
    auto w = make_policy_world({engine_role::mixed});
    w.engines.all().front().local_prefill_tokens = 1000000;
    w.in.arrivals = {make_policy_request(w, 1, 500).arrival};
    tick(w, w.now);
    EXPECT_EQ(w.requests.size(), 1U);
    tick(w, w.now + seconds(1));
    EXPECT_EQ(w.requests.size(), 0U);
    ASSERT_EQ(w.out.caller_replies.size(), 1U);
    auto const code = w.out.caller_replies.front().code;
    EXPECT_EQ(code, result_code::deadline_unreachable);
    EXPECT_TRUE(guarantees_not_run(code));
}

TEST(latest_start, keeps_a_request_that_may_wait)
{
    auto w = make_policy_world({engine_role::mixed});
    w.config.classes.front().may_wait = true;
    w.engines.all().front().local_prefill_tokens = 1000000;
    w.in.arrivals = {make_policy_request(w, 1, 500).arrival};
    tick(w, w.now);
    tick(w, w.now + minutes(10));
    EXPECT_EQ(w.requests.size(), 1U);
    w.engines.all().front().local_prefill_tokens = 0;
    tick(w, w.now + seconds(1));
    EXPECT_EQ(w.out.engine_calls.size(), 1U);
}

TEST(latest_start, an_aged_request_passes_new_urgent_ones)
{
    auto w = make_policy_world({engine_role::mixed});
    auto low_priority = w.config.classes.front();
    low_priority.name = "manual";
    low_priority.priority = 2;
    low_priority.may_wait = true;
    w.config.classes.push_back(low_priority);
    auto &engine = w.engines.all().front();
    engine.local_prefill_tokens = 1000000;
    auto old = make_policy_request(w, 1, 500).arrival;
    old.class_name = "manual";
    w.in.arrivals = {old};
    tick(w, w.now);
    w.in.arrivals = {make_policy_request(w, 2, 500).arrival};
    tick(w, w.now + minutes(2));
    engine.local_prefill_tokens = 0;
    tick(w, w.now + milliseconds(10));
    ASSERT_FALSE(w.out.caller_replies.empty());
    EXPECT_EQ(w.out.caller_replies.front().request, request_number(1));
}

} // namespace
