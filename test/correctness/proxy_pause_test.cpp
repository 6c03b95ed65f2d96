// Guards against calls to an instance that asked for a pause when it turned a
// request away, and against refusals whose time to return is too early.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

void reply_head(proxy_fixture &daemon, proxy_call const &call, int status,
                bool not_run, std::optional<duration> retry_after)
{
    proxy_reply_head head;
    head.status = status;
    head.not_run = not_run;
    head.is_signed = !not_run;
    head.retry_after = retry_after;
    proxy_event event;
    event.attempt = call.attempt;
    event.kind = proxy_event_kind::head;
    event.head = std::make_shared<proxy_reply_head const>(head);
    daemon.state.in.proxy_events.push_back(event);
    if (!not_run)
    {
        daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    }
}

void answer(proxy_fixture &daemon, proxy_call const &call)
{
    reply_head(daemon, call, 200, false, std::nullopt);
}

/// Sends requests, 10 ms apart, until a call to the instance is open; the other
/// calls are answered.
proxy_call call_to(proxy_fixture &daemon, std::string const &instance)
{
    for (int i = 0; i < 100; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            if (call.instance == instance)
            {
                return call;
            }
            answer(daemon, call);
        }
    }
    ADD_FAILURE() << "no call to " << instance;
    return {};
}

/// Sends requests at once, of which two remain open at the instance.
std::vector<proxy_call> two_calls_to(proxy_fixture &daemon,
                                     std::string const &instance)
{
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/look/1");
    }
    std::vector<proxy_call> out;
    for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
    {
        if (call.instance == instance && out.size() < 2)
        {
            out.push_back(call);
            continue;
        }
        answer(daemon, call);
    }
    EXPECT_EQ(out.size(), 2U);
    return out;
}

/// Sends a request every 10 ms and answers the calls.
///
/// @return number of calls to the instance in the given time
int calls_to(proxy_fixture &daemon, std::string const &instance, duration time)
{
    int count = 0;
    auto const end = daemon.state.now + time;
    while (daemon.state.now < end)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            count += call.instance == instance ? 1 : 0;
            answer(daemon, call);
        }
    }
    return count;
}

/// Makes the instance ask for a pause.
void pause(proxy_fixture &daemon, std::string const &instance, duration time)
{
    reply_head(daemon, call_to(daemon, instance), 503, true, time);
    for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
    {
        EXPECT_NE(call.instance, instance);
        answer(daemon, call);
    }
}

std::vector<proxy_call> calls_of_booking(proxy_fixture &daemon)
{
    daemon.send("/book/1");
    return daemon.advance(milliseconds(20)).proxy_calls;
}

TEST(proxy_pause, nothing_reaches_the_instance_until_its_pause_ends)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    pause(daemon, "desk-1", seconds(2));
    EXPECT_EQ(calls_to(daemon, "desk-1", milliseconds(1960)), 0);
    EXPECT_GT(calls_to(daemon, "desk-1", seconds(1)), 0);
}

TEST(proxy_pause, a_refusal_that_may_have_run_asks_for_it_too)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    reply_head(daemon, call_to(daemon, "desk-1"), 503, false, seconds(2));
    EXPECT_EQ(calls_to(daemon, "desk-1", milliseconds(1900)), 0);
}

TEST(proxy_pause, other_replies_ask_for_none)
{
    for (auto const &[status, time] :
         {std::pair{429, std::optional<duration>(seconds(9))},
          std::pair{500, std::optional<duration>(seconds(9))},
          std::pair{503, std::optional<duration>()},
          std::pair{503, std::optional<duration>(duration(0))}})
    {
        proxy_fixture daemon;
        daemon.list_endpoints(2);
        reply_head(daemon, call_to(daemon, "desk-1"), status, true, time);
        EXPECT_GT(calls_to(daemon, "desk-1", seconds(1)), 0) << status;
    }
}

TEST(proxy_pause, a_shorter_one_does_not_end_a_longer_one)
{
    for (bool const longer_first : {true, false})
    {
        proxy_fixture daemon;
        daemon.list_endpoints(3);
        auto const calls = two_calls_to(daemon, "desk-1");
        reply_head(daemon, calls.at(0), 503, true,
                   seconds(longer_first ? 3 : 1));
        daemon.advance(milliseconds(10));
        reply_head(daemon, calls.at(1), 503, true,
                   seconds(longer_first ? 1 : 3));
        EXPECT_EQ(calls_to(daemon, "desk-1", milliseconds(2900)), 0);
        EXPECT_GT(calls_to(daemon, "desk-1", seconds(1)), 0);
    }
}

TEST(proxy_pause, a_restart_ends_it_and_a_new_row_does_not)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    auto definition = daemon.state.proxy.instances.find("desk-1")->definition;
    definition.started_at_ms = 1700000000000;
    daemon.list(definition);
    pause(daemon, "desk-1", seconds(10));
    daemon.instances_changed({}, {"desk-1"});
    daemon.list(definition);
    EXPECT_EQ(calls_to(daemon, "desk-1", seconds(1)), 0);
    definition.started_at_ms += 5000;
    daemon.list(definition);
    EXPECT_GT(calls_to(daemon, "desk-1", seconds(1)), 0);
}

TEST(proxy_pause, a_booking_waits_for_the_end_of_a_short_one)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    pause(daemon, "desk-1", milliseconds(1000));
    auto const sent_at = daemon.state.now;
    daemon.send("/book/1");
    auto const before = daemon.advance(milliseconds(900));
    EXPECT_TRUE(before.proxy_calls.empty());
    ASSERT_TRUE(daemon.state.next_wake.has_value());
    EXPECT_GT(*daemon.state.next_wake, daemon.state.now);
    EXPECT_LE(*daemon.state.next_wake, sent_at + seconds(1));
    bool booked = false;
    for (auto const &call : daemon.advance(milliseconds(200)).proxy_calls)
    {
        booked |= call.content->target == "/book/1";
    }
    EXPECT_TRUE(booked);
}

TEST(proxy_pause, a_waiting_request_takes_an_instance_that_is_listed_meanwhile)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    pause(daemon, "desk-1", seconds(3));
    EXPECT_TRUE(calls_of_booking(daemon).empty());
    daemon.list_endpoints(2);
    auto const calls = daemon.advance(milliseconds(200)).proxy_calls;
    ASSERT_FALSE(calls.empty());
    EXPECT_EQ(calls.front().instance, "desk-2");
}

TEST(proxy_pause, a_request_that_cannot_wait_so_long_is_refused_at_once)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    pause(daemon, "desk-1", seconds(30));
    pause(daemon, "desk-2", seconds(20));
    auto const left = seconds(20) - milliseconds(100);
    daemon.send("/book/1");
    auto const out = daemon.advance(milliseconds(20));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_FALSE(out.proxy_answers.empty());
    auto const &refusal = out.proxy_answers.back();
    EXPECT_EQ(refusal.status, 503);
    ASSERT_TRUE(refusal.retry_after.has_value());
    EXPECT_GE(*refusal.retry_after, left);
    EXPECT_LE(*refusal.retry_after, left + seconds(2));
}

// The caller must not be sent back while its only endpoint wants no request.
TEST(proxy_pause, the_final_refusal_tells_the_time_until_the_pause_ends)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    auto const calls = calls_of_booking(daemon);
    ASSERT_EQ(calls.size(), 1U);
    reply_head(daemon, calls.front(), 503, true, seconds(9));
    auto const out = daemon.advance(milliseconds(20));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 503);
    EXPECT_GE(*out.proxy_answers.front().retry_after, milliseconds(8900));
}

TEST(proxy_pause, a_refusal_that_may_have_run_is_not_passed_on_as_not_run)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    auto const calls = calls_of_booking(daemon);
    ASSERT_EQ(calls.size(), 1U);
    reply_head(daemon, calls.front(), 503, false, seconds(9));
    auto const out = daemon.advance(milliseconds(20));
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 502);
    EXPECT_FALSE(out.proxy_answers.front().retry_after.has_value());
}

TEST(proxy_pause, an_engine_that_only_prefills_does_not_end_the_wait)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::prefill);
    daemon.list_engines(1, engine_role::decode);
    daemon.state.proxy.paused_instances.extend(
        incarnation_of(
            daemon.state.proxy.instances.find("decode-1")->definition),
        daemon.state.now + milliseconds(500));
    daemon.send("/chat/1", 7, 9000);
    EXPECT_TRUE(daemon.advance(milliseconds(490)).proxy_calls.empty());
    EXPECT_FALSE(daemon.advance(milliseconds(50)).proxy_calls.empty());
}

TEST(proxy_pause, prefill_calls_and_hand_overs_respect_it)
{
    for (auto const *paused : {"prefill-1", "decode-1"})
    {
        proxy_fixture daemon;
        daemon.list_engines(2, engine_role::prefill);
        daemon.list_engines(2, engine_role::decode);
        daemon.state.proxy.paused_instances.extend(
            incarnation_of(
                daemon.state.proxy.instances.find(paused)->definition),
            daemon.state.now + seconds(5));
        for (int i = 0; i < 40; ++i)
        {
            daemon.send("/chat/1", 7 + i, 9000);
            for (auto const &call :
                 daemon.advance(milliseconds(20)).proxy_calls)
            {
                EXPECT_NE(call.instance, paused);
                if (call.stage == proxy_stage::prefill)
                {
                    daemon.state.in.prefill_results.push_back(
                        {call.attempt, "handle"});
                }
            }
        }
    }
}

TEST(proxy_pause, reads_of_the_cache_wait_for_its_end)
{
    proxy_fixture daemon;
    daemon.list_engines(2, engine_role::decode);
    daemon.state.proxy.paused_instances.extend(
        incarnation_of(
            daemon.state.proxy.instances.find("decode-1")->definition),
        daemon.state.now + seconds(5));
    auto const reads_of = [&daemon](duration time)
    {
        auto const reads = daemon.advance(time).cache_reads;
        for (auto const &read : reads)
        {
            cache_read_reply reply;
            reply.instance = read.instance;
            reply.answered = true;
            daemon.state.in.cache_read_replies.push_back(reply);
        }
        return std::ranges::count(reads, "decode-1", &cache_read::instance);
    };
    // Ends the read that began when the engine was listed.
    cache_read_reply first;
    first.instance = "decode-1";
    first.answered = true;
    daemon.state.in.cache_read_replies.push_back(first);
    EXPECT_EQ(reads_of(milliseconds(4900)), 0);
    EXPECT_GT(reads_of(seconds(3)), 0);
}

TEST(proxy_pause, a_kept_prompt_is_not_released_at_a_paused_engine)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::prefill);
    daemon.list_engines(1, engine_role::decode);
    auto const request = daemon.send("/chat/1", 7, 9000);
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    ASSERT_EQ(calls.front().stage, proxy_stage::prefill);
    daemon.state.in.prefill_results.push_back(
        {calls.front().attempt, "handle"});
    daemon.advance(milliseconds(20));
    daemon.state.proxy.paused_instances.extend(
        incarnation_of(
            daemon.state.proxy.instances.find("prefill-1")->definition),
        daemon.state.now + seconds(5));
    daemon.state.in.proxy_disconnects.push_back({request});
    EXPECT_TRUE(daemon.advance(milliseconds(20)).kv_releases.empty());
}

/// An endpoint that serves a number of requests a second and turns others away
/// with a pause.
class overloaded_endpoint
{
public:
    /// @return true when the request is served; else it asks for a pause
    bool serves(instant now)
    {
        late_arrivals_ += paused_at_ && now > *paused_at_ + milliseconds(500) &&
                                  now < *paused_at_ + pause_time
                              ? 1
                              : 0;
        if (now - window_begin_ >= seconds(1))
        {
            window_begin_ = now;
            served_ = 0;
        }
        bool const accepted = ++served_ <= 20;
        if (!accepted)
        {
            paused_at_ = now;
        }
        return accepted;
    }

    int late_arrivals() const { return late_arrivals_; }

    static constexpr duration pause_time = seconds(2);

private:
    instant window_begin_{};
    int served_ = 0;
    int late_arrivals_ = 0;
    std::optional<instant> paused_at_;
};

TEST(proxy_pause, overloaded_endpoints_are_left_alone_under_steady_load)
{
    proxy_fixture daemon;
    daemon.list_endpoints(3);
    std::map<std::string, overloaded_endpoint> endpoints;
    int served = 0;
    for (int i = 0; i < 2000; ++i)
    {
        daemon.send(i % 2 == 0 ? "/book/1" : "/look/1");
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            bool const accepted =
                endpoints[call.instance].serves(daemon.state.now);
            served += accepted ? 1 : 0;
            accepted ? answer(daemon, call)
                     : reply_head(daemon, call, 503, true,
                                  overloaded_endpoint::pause_time);
        }
    }
    EXPECT_GT(served, 300);
    for (auto const &[id, endpoint] : endpoints)
    {
        EXPECT_EQ(endpoint.late_arrivals(), 0) << id;
    }
}

} // namespace
