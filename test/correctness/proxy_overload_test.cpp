// Guards against an overload that makes all requests late: when all wait in one
// queue in order of arrival, the wait soon exceeds every target. Also guards
// against prompts that are prefilled between the events of other callers'
// streams until these pause for too long.
#include "engine_simulator.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace
{

using namespace agateledge;

constexpr int short_prompt = 350;
constexpr int long_prompt = 3700;

/// Short prompts that 4 engines in prefill role and 8 in decode role, whose
/// streams must not pause for more than 150 ms, can prefill in a second.
constexpr double short_prompts_per_s = 900;

/// Routes `/once/` with short targets and `/chat/` with longer ones.
void set_targets(proxy_fixture &daemon)
{
    auto routing = *daemon.state.proxy.routing;
    for (auto &route : routing.routes)
    {
        bool const is_short = route.name == "once";
        route.target_latency = milliseconds(is_short ? 250 : 600);
        route.max_event_gap = milliseconds(150);
        route.priority = is_short ? 0 : 1;
    }
    routing.services.front().tokens_per_event = 7;
    daemon.state.proxy.set_routing(
        std::make_shared<routing_configuration const>(routing));
}

/// Sends short prompts at an even rate.
void play(engine_simulator &engines, double per_s, duration time)
{
    double due = 0;
    for (duration done{}; done < time; done += milliseconds(2))
    {
        for (due += per_s * 0.002; due >= 1; due -= 1)
        {
            engines.send("/once/1", short_prompt);
        }
        engines.advance(milliseconds(2));
    }
}

class proxy_overload : public testing::Test
{
protected:
    proxy_overload()
    {
        set_targets(daemon);
        daemon.list_engines(8, engine_role::decode);
        daemon.list_engines(4, engine_role::prefill);
    }

    proxy_fixture daemon;
    engine_simulator engines{daemon};
};

// A perfect dispatcher serves two thirds of this load in time.
TEST_F(proxy_overload, half_of_a_load_of_1_5_times_the_capacity_is_in_time)
{
    play(engines, 1.5 * short_prompts_per_s, seconds(3));
    engines.advance(seconds(4));
    auto const seen = engines.outcomes("/once/1");
    auto const total = seen.in_time + seen.late + seen.refused + seen.unserved;
    EXPECT_GE(seen.in_time, total / 2);
    EXPECT_LE(seen.unserved, total / 10);
}

TEST_F(proxy_overload, requests_after_an_overload_are_in_time)
{
    play(engines, 2 * short_prompts_per_s, seconds(2));
    engines.advance(milliseconds(500));
    auto const before = engines.outcomes("/once/1");
    play(engines, 0.4 * short_prompts_per_s, seconds(1));
    engines.advance(seconds(4));
    auto const after = engines.outcomes("/once/1");
    EXPECT_GE(after.in_time - before.in_time, 340);
}

// Two of three engines are lost in the middle of a load that they carry.
TEST_F(proxy_overload, a_loss_of_engines_leaves_some_requests_in_time)
{
    play(engines, 0.8 * short_prompts_per_s, seconds(1));
    for (int i = 1; i <= 8; ++i)
    {
        engines.silence((i <= 5 ? "decode-" : "prefill-") +
                        std::to_string(i <= 5 ? i : i - 5));
    }
    play(engines, 0.8 * short_prompts_per_s, seconds(4));
    engines.advance(seconds(4));
    auto const seen = engines.outcomes("/once/1");
    EXPECT_GE(seen.in_time, 3600 / 3);
}

TEST_F(proxy_overload, long_prompts_do_not_stall_the_streams_of_short_ones)
{
    for (int second = 0; second < 3; ++second)
    {
        for (int i = 0; i < 40; ++i)
        {
            engines.send("/chat/1", long_prompt);
            play(engines, 200, milliseconds(24));
        }
    }
    engines.advance(seconds(4));
    auto const seen = engines.outcomes("/once/1");
    auto const total = seen.in_time + seen.late + seen.refused + seen.unserved;
    EXPECT_GE(seen.in_time, total * 9 / 10);
}

// An urgent call must not be predicted to wait for background calls, which
// yield to it at the engine.
TEST(proxy_background, calls_predicted_late_do_not_delay_later_ones)
{
    proxy_fixture daemon;
    set_targets(daemon);
    daemon.list_engines(1, engine_role::decode);
    daemon.state.proxy.instances.find("decode-1")->unread_tokens = 15000;
    daemon.send("/once/1", 1, 0, short_prompt);
    auto out = daemon.advance(milliseconds(2));
    ASSERT_EQ(out.proxy_calls.size(), 1U);
    EXPECT_EQ(out.proxy_calls.front().priority, 9);
    daemon.state.proxy.instances.find("decode-1")->unread_tokens = 0;
    daemon.send("/once/1", 2, 0, short_prompt);
    out = daemon.advance(milliseconds(2));
    ASSERT_EQ(out.proxy_calls.size(), 1U);
    EXPECT_EQ(out.proxy_calls.front().priority, 0);
}

// What cannot begin before its caller leaves is refused at once, as not run.
TEST(proxy_background, more_background_work_than_can_begin_is_refused)
{
    proxy_fixture daemon;
    set_targets(daemon);
    daemon.list_engines(1, engine_role::decode);
    auto &engine = *daemon.state.proxy.instances.find("decode-1");
    engine.unread_tokens = 15000;
    engine.background_tokens = 50000;
    daemon.send("/once/1", 1, 0, short_prompt);
    auto const out = daemon.advance(milliseconds(2));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 503);
    EXPECT_TRUE(out.proxy_answers.front().retry_after.has_value());
}

} // namespace
