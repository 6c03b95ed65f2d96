// Guards against requests that run twice, requests reported as not run that may
// have run, and stream events that are lost or repeated when an engine fails.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
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

/// Sends a long prompt and answers its prefill call.
///
/// @return the call that decodes it
proxy_call handed_over_call(proxy_fixture &daemon)
{
    daemon.send("/chat/1", 7, 9000);
    auto const prefill = only_call(step(daemon));
    EXPECT_EQ(prefill.stage, proxy_stage::prefill);
    daemon.state.in.prefill_results.push_back({prefill.attempt, "handle"});
    auto const run = only_call(step(daemon));
    EXPECT_EQ(run.stage, proxy_stage::run);
    EXPECT_EQ(run.kv_handle, "handle");
    return run;
}

void list_two_of_each_role(proxy_fixture &daemon)
{
    daemon.list_engines(2, engine_role::prefill);
    daemon.list_engines(2, engine_role::decode);
}

// A second prefill call counts against the budget, and so does the run after
// it.
TEST(proxy_retry, a_retry_after_a_hand_over_is_one_extra_call)
{
    proxy_fixture daemon;
    list_two_of_each_role(daemon);
    auto const run = handed_over_call(daemon);
    daemon.reply_ends(run.attempt, proxy_event_kind::failed_after_send);
    auto const retry = only_call(step(daemon));
    EXPECT_EQ(retry.stage, proxy_stage::run);
    EXPECT_EQ(retry.kv_handle, "");
}

TEST(proxy_retry, a_handle_that_was_not_sent_is_offered_to_another_engine)
{
    proxy_fixture daemon;
    list_two_of_each_role(daemon);
    auto const run = handed_over_call(daemon);
    daemon.reply_ends(run.attempt, proxy_event_kind::failed_before_send);
    auto const retry = only_call(step(daemon));
    EXPECT_EQ(retry.stage, proxy_stage::run);
    EXPECT_EQ(retry.kv_handle, "handle");
    EXPECT_NE(retry.instance, run.instance);
}

// A handle can be taken once; the next engine would refuse the call.
TEST(proxy_retry, a_handle_is_not_offered_again_after_an_error_reply)
{
    proxy_fixture daemon;
    list_two_of_each_role(daemon);
    auto const run = handed_over_call(daemon);
    daemon.reply_head(run.attempt, 500);
    daemon.reply_ends(run.attempt, proxy_event_kind::finished);
    auto const retry = only_call(step(daemon));
    EXPECT_EQ(retry.stage, proxy_stage::run);
    EXPECT_EQ(retry.kv_handle, "");
}

/// Calls of one request that reached an engine and count as such.
struct counted_calls
{
    int runs = 0;
    int prefills = 0;

    /// @return calls that count against the budget: all but the first one and
    ///         the first prefill
    int extra() const
    {
        return std::max(runs + std::max(prefills - 1, 0) - 1, 0);
    }
};

/// Answers a prefill call; breaks the first run of every fourth request off,
/// and completes the other runs.
void answer_call(proxy_fixture &daemon, proxy_call const &call,
                 counted_calls &counted)
{
    if (call.stage == proxy_stage::prefill)
    {
        ++counted.prefills;
        daemon.state.in.prefill_results.push_back({call.attempt, "handle"});
        return;
    }
    bool const first = counted.runs++ == 0;
    if (first && call.request.value() % 4 == 0)
    {
        daemon.reply_ends(call.attempt, proxy_event_kind::failed_after_send);
        return;
    }
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\n");
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
}

TEST(proxy_retry, broken_runs_after_hand_overs_stay_within_the_budget)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::prefill);
    daemon.list_engines(6, engine_role::decode);
    std::map<request_number, counted_calls> counted;
    constexpr int requests = 400;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/chat/1", static_cast<std::uint64_t>(7 + i), 9000);
        for (auto const &call : step(daemon).proxy_calls)
        {
            answer_call(daemon, call, counted[call.request]);
        }
    }
    int const extra = std::accumulate(counted.begin(), counted.end(), 0,
                                      [](int sum, auto const &item)
                                      { return sum + item.second.extra(); });
    auto const &limits = daemon.state.proxy.limits.retries;
    EXPECT_GT(extra, 0);
    EXPECT_LE(extra, limits.share * requests + limits.extra / 4);
}

// Each refusal reserves a retry that finds no instance.
TEST(proxy_retry, retries_that_are_not_sent_leave_the_budget_to_others)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    constexpr int requests = 60;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/look/1");
    }
    for (auto const &call : step(daemon).proxy_calls)
    {
        daemon.reply_head(call.attempt, 503, true);
    }
    daemon.instances_changed({}, {"desk-1"});
    EXPECT_TRUE(step(daemon).proxy_calls.empty());
    EXPECT_EQ(daemon.state.proxy.requests.size(), 0U);
    daemon.list_endpoints(2);
    daemon.send("/look/1");
    auto const first = only_call(step(daemon));
    daemon.reply_ends(first.attempt, proxy_event_kind::failed_after_send);
    EXPECT_EQ(step(daemon).proxy_calls.size(), 1U);
}

TEST(proxy_retry, a_retry_counts_from_the_time_at_which_it_is_sent)
{
    shared_retry_budget budget;
    retry_limits const limits;
    instant const start(seconds(100));
    auto const left = [&](duration after)
    { return budget.remaining(start + after, limits, 1); };
    auto const full = left(duration(0));
    ASSERT_TRUE(budget.reserve(start, limits, 1));
    EXPECT_EQ(left(seconds(4)), full - 1);
    budget.charge(start + seconds(4));
    EXPECT_EQ(left(milliseconds(13900)), full - 1);
    EXPECT_EQ(left(milliseconds(15100)), full);
    ASSERT_TRUE(budget.reserve(start + seconds(16), limits, 1));
    budget.release();
    EXPECT_EQ(left(seconds(16)), full);
}

} // namespace
