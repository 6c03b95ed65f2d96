// Guards against requests that are lost in a graceful shutdown: open requests
// must finish, and those that cannot finish in time must be refused as not run.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

TEST(proxy_stop, requests_are_served_after_the_signal_and_end_before_the_exit)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    daemon.state.in.shutdown = true;
    daemon.advance(seconds(1));
    daemon.send("/look/1");
    auto const sent = daemon.advance(milliseconds(50));
    ASSERT_EQ(sent.proxy_calls.size(), 1U);
    EXPECT_FALSE(daemon.advance(milliseconds(2800)).shutdown_complete);
    daemon.reply_head(sent.proxy_calls.front().attempt, 200);
    daemon.reply_ends(sent.proxy_calls.front().attempt,
                      proxy_event_kind::finished);
    auto const end = daemon.advance(seconds(2));
    ASSERT_EQ(end.proxy_answers.size(), 1U);
    EXPECT_EQ(end.proxy_answers.front().status, 200);
    EXPECT_TRUE(end.proxy_answers.front().close_connection);
    EXPECT_TRUE(end.shutdown_complete);
}

// A request admitted 6 s after the shutdown signal was cut off when the process
// exited.
TEST(proxy_stop, late_requests_are_refused_as_not_run)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    daemon.state.in.shutdown = true;
    daemon.advance(milliseconds(3200));
    daemon.send("/book/1");
    auto const out = daemon.advance(milliseconds(20));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().code, result_code::daemon_draining);
    EXPECT_TRUE(out.proxy_answers.front().retry_after.has_value());
    EXPECT_TRUE(daemon.advance(seconds(2)).shutdown_complete);
}

TEST(proxy_stop, a_request_that_waits_is_not_sent_after_admission_has_ended)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    daemon.send("/look/1");
    auto const first = daemon.advance(milliseconds(10)).proxy_calls;
    ASSERT_EQ(first.size(), 1U);
    proxy_reply_head pause;
    pause.status = 503;
    pause.not_run = true;
    pause.retry_after = milliseconds(4200);
    daemon.reply_head(first.front().attempt, pause);
    daemon.advance(milliseconds(10));
    daemon.state.in.shutdown = true;
    daemon.send("/book/1");
    daemon.advance(milliseconds(2900));
    auto const out = daemon.advance(seconds(2));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 2U);
    for (auto const &answer : out.proxy_answers)
    {
        EXPECT_EQ(answer.code, result_code::daemon_draining);
        EXPECT_TRUE(answer.retry_after.has_value());
    }
}

} // namespace
