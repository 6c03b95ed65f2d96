// Guards against requests that are counted in the usage of an account although
// they did not run, or are counted twice.
#include "count_usage.hpp"
#include "duty_state.hpp"
#include "proxy_fixture.hpp"
#include "usage_state.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

/// @return the counted requests of the account
int counted(proxy_fixture &daemon, std::string const &account)
{
    int sum = 0;
    for (auto const &[window, accounts] : usage_of(daemon.state).counts)
    {
        auto const found = accounts.find(account);
        sum += found == accounts.end() ? 0 : static_cast<int>(found->second);
    }
    return sum;
}

/// Daemon with duties that has one waiting request.
struct counting_daemon
{
    explicit counting_daemon(std::string const &path, bool stream)
    {
        daemon.state.proxy.limits.duties.platform_address = "127.0.0.1:1";
        daemon.state.proxy.limits.duties.reports_usage = true;
        duties_of(daemon.state).time_of_day = [] { return hours(500'000); };
        stream ? daemon.list_engines(1, engine_role::mixed)
               : daemon.list_endpoints(1);
        daemon.advance(milliseconds(10));
        auto &proxy = daemon.state.proxy;
        // The request waits meanwhile, so that it can be given an account.
        for (auto const &[id, instance] : proxy.instances.all())
        {
            proxy.paused_instances.extend(incarnation_of(instance.definition),
                                          daemon.state.now + milliseconds(50));
        }
        auto const number = daemon.send(path, stream ? 1 : 0, 100);
        daemon.advance(milliseconds(10));
        proxy.requests.find(number)->account = "a";
        auto const calls = daemon.advance(milliseconds(200)).proxy_calls;
        EXPECT_EQ(calls.size(), 1U);
        attempt = calls.front().attempt;
    }

    proxy_fixture daemon;
    attempt_number attempt;
};

TEST(count_usage, a_stream_counts_once_with_its_first_event)
{
    counting_daemon test("/chat/1", true);
    EXPECT_EQ(counted(test.daemon, "a"), 0);
    test.daemon.reply_head(test.attempt, 200);
    test.daemon.advance(milliseconds(10));
    EXPECT_EQ(counted(test.daemon, "a"), 0);
    test.daemon.reply_bytes(test.attempt, "id: 1\ndata: x\n\n");
    test.daemon.advance(milliseconds(10));
    EXPECT_EQ(counted(test.daemon, "a"), 1);
    test.daemon.reply_bytes(test.attempt, "id: 2\ndata: x\n\n");
    test.daemon.advance(milliseconds(10));
    EXPECT_EQ(counted(test.daemon, "a"), 1);
    auto const &activity = usage_of(test.daemon.state).activity.at("models");
    EXPECT_EQ(activity.requests, 1U);
    EXPECT_GT(activity.unread_tokens, 0U);
}

TEST(count_usage, a_plain_call_counts_when_sent_unless_it_was_refused)
{
    counting_daemon test("/book/1", false);
    EXPECT_EQ(counted(test.daemon, "a"), 1);
    test.daemon.reply_head(test.attempt, 503, true);
    test.daemon.tick_now();
    EXPECT_EQ(counted(test.daemon, "a"), 0);
    auto const calls = test.daemon.advance(milliseconds(50)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(counted(test.daemon, "a"), 1);
    test.daemon.reply_ends(calls.front().attempt,
                           proxy_event_kind::failed_after_send);
    test.daemon.advance(milliseconds(10));
    EXPECT_EQ(counted(test.daemon, "a"), 1);
}

TEST(count_usage, nothing_happens_without_duties)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    daemon.send("/look/1");
    auto const out = daemon.advance(seconds(12));
    EXPECT_EQ(daemon.state.proxy.duties, nullptr);
    EXPECT_TRUE(out.row_transactions.empty());
    EXPECT_TRUE(out.usage_snapshots.empty());
    EXPECT_TRUE(out.platform_calls.empty());
}

} // namespace
