// Guards against requests that run twice, requests reported as not run that may
// have run, and stream events that are lost or repeated when an engine fails.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

proxy_call only_call(outbox const &out)
{
    EXPECT_EQ(out.proxy_calls.size(), 1U);
    return out.proxy_calls.empty() ? proxy_call{} : out.proxy_calls.front();
}

outbox step(proxy_fixture &daemon)
{
    return daemon.advance(milliseconds(20));
}

TEST(proxy_retry, a_booking_whose_reply_is_lost_is_not_sent_again)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    daemon.send("/book/1");
    auto const call = only_call(step(daemon));
    daemon.reply_ends(call.attempt, proxy_event_kind::failed_after_send);
    auto const out = step(daemon);
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 502);
}

TEST(proxy_retry, a_booking_goes_elsewhere_when_no_connection_was_made)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    daemon.send("/book/1");
    auto const first = only_call(step(daemon));
    daemon.reply_ends(first.attempt, proxy_event_kind::failed_before_send);
    auto const second = only_call(step(daemon));
    EXPECT_NE(second.instance, first.instance);
}

TEST(proxy_retry, a_refused_booking_is_answered_as_not_run)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    daemon.send("/book/1");
    int calls = 0;
    outbox out;
    for (int i = 0; i < 20 && out.proxy_answers.empty(); ++i)
    {
        out = step(daemon);
        for (auto const &call : out.proxy_calls)
        {
            ++calls;
            daemon.reply_head(call.attempt, 503, true);
        }
    }
    EXPECT_GE(calls, 1);
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 503);
    EXPECT_TRUE(out.proxy_answers.front().retry_after.has_value());
}

// A 503 from an instance does not prove that the request did not run, but a
// caller would take it so if it were forwarded.
TEST(proxy_retry, a_503_without_the_statement_is_not_passed_on)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    daemon.send("/book/1");
    auto const call = only_call(step(daemon));
    daemon.reply_head(call.attempt, 503);
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    auto const out = step(daemon);
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 502);
    EXPECT_TRUE(out.proxy_answers.front().headers.empty());
}

TEST(proxy_retry, a_status_check_is_sent_again_after_a_lost_reply)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    daemon.send("/look/1");
    auto const first = only_call(step(daemon));
    daemon.reply_ends(first.attempt, proxy_event_kind::failed_after_send);
    auto const second = only_call(step(daemon));
    EXPECT_NE(second.instance, first.instance);
    daemon.reply_ends(second.attempt, proxy_event_kind::failed_after_send);
    // The route allows two attempts.
    EXPECT_TRUE(step(daemon).proxy_calls.empty());
}

TEST(proxy_retry, a_resumable_stream_goes_on_after_its_last_whole_event)
{
    proxy_fixture daemon;
    daemon.list_engines(3, engine_role::mixed);
    daemon.send("/chat/1", 7, 1000);
    auto const first = only_call(step(daemon));
    daemon.reply_head(first.attempt, 200);
    daemon.reply_bytes(first.attempt, "id: 1\ndata: a\n\nid: 2\nda");
    auto const begun = step(daemon);
    ASSERT_EQ(begun.proxy_answers.size(), 2U);
    EXPECT_EQ(begun.proxy_answers.at(1).bytes, "id: 1\ndata: a\n\n");
    daemon.reply_ends(first.attempt, proxy_event_kind::failed_after_send);
    auto const second = only_call(step(daemon));
    EXPECT_EQ(second.resume_after, "1");
    EXPECT_NE(second.instance, first.instance);
    daemon.reply_head(second.attempt, 200);
    daemon.reply_bytes(second.attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    daemon.reply_ends(second.attempt, proxy_event_kind::finished);
    auto const ended = step(daemon);
    ASSERT_EQ(ended.proxy_answers.size(), 2U);
    EXPECT_EQ(ended.proxy_answers.at(0).bytes, "id: 2\ndata: b\n\n");
    EXPECT_EQ(ended.proxy_answers.at(1).kind, proxy_answer_kind::end);
}

TEST(proxy_retry, a_stream_that_runs_once_is_cut_when_its_engine_fails)
{
    proxy_fixture daemon;
    daemon.list_engines(3, engine_role::mixed);
    daemon.send("/once/1", 7, 1000);
    auto const call = only_call(step(daemon));
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\n");
    step(daemon);
    daemon.reply_ends(call.attempt, proxy_event_kind::failed_after_send);
    auto const out = step(daemon);
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().kind, proxy_answer_kind::aborted);
}

TEST(proxy_retry, a_stream_that_ends_within_an_event_is_not_complete)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::mixed);
    daemon.send("/once/1", 7, 1000);
    auto const call = only_call(step(daemon));
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\nid: 2\nda");
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    auto const out = step(daemon);
    ASSERT_FALSE(out.proxy_answers.empty());
    EXPECT_EQ(out.proxy_answers.back().kind, proxy_answer_kind::aborted);
}

TEST(proxy_retry, the_time_that_is_left_shrinks_with_each_call)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    daemon.send("/look/1");
    auto const first = only_call(step(daemon));
    daemon.advance(seconds(1));
    daemon.reply_ends(first.attempt, proxy_event_kind::failed_after_send);
    auto const second = only_call(step(daemon));
    EXPECT_LE(*second.time_left, *first.time_left - seconds(1));
}

TEST(proxy_retry, a_caller_that_leaves_ends_the_call)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::mixed);
    auto const request = daemon.send("/chat/1", 7, 1000);
    auto const call = only_call(step(daemon));
    daemon.state.in.proxy_disconnects.push_back({request});
    auto const out = step(daemon);
    ASSERT_EQ(out.proxy_cancels.size(), 1U);
    EXPECT_EQ(out.proxy_cancels.front().attempt, call.attempt);
}

TEST(proxy_retry, extra_calls_stay_within_this_daemons_part_of_the_budget)
{
    proxy_fixture daemon;
    daemon.list_endpoints(4);
    int calls = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : step(daemon).proxy_calls)
        {
            ++calls;
            daemon.reply_ends(call.attempt,
                              proxy_event_kind::failed_after_send);
        }
    }
    auto const &limits = daemon.state.proxy.limits.retries;
    EXPECT_LE(calls - requests, limits.share * requests + limits.extra / 4);
    EXPECT_GT(calls, requests);
}

} // namespace
