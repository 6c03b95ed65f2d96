// Guards against requests that are lost in a graceful shutdown: open requests
// must finish, and those that cannot finish in time must be refused as not run.
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

TEST(relay_stop, requests_are_served_after_the_signal_and_end_before_the_exit)
{
    relay_fixture daemon;
    daemon.list_endpoints(2);
    daemon.state.in.shutdown = true;
    daemon.advance(seconds(1));
    daemon.send("/look/1");
    auto const sent = daemon.advance(milliseconds(50));
    ASSERT_EQ(sent.relay_calls.size(), 1U);
    EXPECT_FALSE(daemon.advance(milliseconds(2800)).stop_ready);
    daemon.reply_head(sent.relay_calls.front().attempt, 200);
    daemon.reply_ends(sent.relay_calls.front().attempt,
                      relay_event_kind::finished);
    auto const end = daemon.advance(seconds(2));
    ASSERT_EQ(end.relay_answers.size(), 1U);
    EXPECT_EQ(end.relay_answers.front().status, 200);
    EXPECT_TRUE(end.relay_answers.front().close_connection);
    EXPECT_TRUE(end.stop_ready);
}

// A request admitted 6 s after the shutdown signal was cut off when the process
// exited.
TEST(relay_stop, late_requests_are_refused_as_not_run)
{
    relay_fixture daemon;
    daemon.list_endpoints(2);
    daemon.state.in.shutdown = true;
    daemon.advance(milliseconds(3200));
    daemon.send("/book/1");
    auto const out = daemon.advance(milliseconds(20));
    EXPECT_TRUE(out.relay_calls.empty());
    ASSERT_EQ(out.relay_answers.size(), 1U);
    EXPECT_EQ(out.relay_answers.front().code, result_code::daemon_draining);
    EXPECT_TRUE(out.relay_answers.front().retry_after.has_value());
    EXPECT_TRUE(daemon.advance(seconds(2)).stop_ready);
}

} // namespace
