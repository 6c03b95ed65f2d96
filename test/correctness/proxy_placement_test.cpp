// Guards placement under the heaviest load, bursts of long prompts with shared
// parts: prompts must go to an engine that caches their shared parts, and
// daemons must choose the same engine without exchanging messages.
#include "choose_instance.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int shared_tokens = 13300;
constexpr int unshared_tokens = 3700;

/// Sends one request and answers its call at once.
///
/// @return the engine that was called
std::string send_and_answer(proxy_fixture &daemon, std::uint64_t part)
{
    daemon.send("/once/1", part, shared_tokens, unshared_tokens);
    auto const out = daemon.advance(milliseconds(10));
    EXPECT_EQ(out.proxy_calls.size(), 1U);
    auto const &call = out.proxy_calls.front();
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\n");
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    daemon.advance(seconds(10));
    return call.instance;
}

TEST(proxy_placement, daemons_agree_on_the_home_of_a_shared_part)
{
    proxy_fixture one;
    proxy_fixture other;
    one.list_engines(12, engine_role::decode);
    other.list_engines(12, engine_role::decode);
    std::set<std::string> chosen_engines;
    for (std::uint64_t part = 1; part <= 24; ++part)
    {
        auto const chosen_engine = send_and_answer(one, part);
        EXPECT_EQ(send_and_answer(other, part), chosen_engine);
        chosen_engines.insert(chosen_engine);
    }
    EXPECT_GE(chosen_engines.size(), 8U);
}

// A call at an engine that caches the shared part prefills 3,700 tokens, a call
// at any other engine 17,000.
TEST(proxy_placement, a_burst_reads_few_shared_parts_again)
{
    proxy_fixture daemon;
    daemon.list_engines(12, engine_role::decode);
    std::map<std::uint64_t, std::set<std::string>> places;
    for (int i = 0; i < 120; ++i)
    {
        auto const part = static_cast<std::uint64_t>(1 + i % 24);
        daemon.send("/once/1", part, shared_tokens, unshared_tokens);
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            places[part].insert(call.instance);
        }
    }
    EXPECT_TRUE(std::ranges::all_of(places, [](auto const &item)
                                    { return item.second.size() <= 3; }));
}

TEST(proxy_placement, a_prompt_that_was_read_goes_on_at_a_decode_engine)
{
    proxy_fixture daemon;
    daemon.list_engines(8, engine_role::decode);
    daemon.list_engines(4, engine_role::prefill);
    int handed_over = 0;
    for (std::uint64_t part = 1; part <= 40; ++part)
    {
        daemon.send("/once/1", part, shared_tokens, unshared_tokens);
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            if (call.stage == proxy_stage::prefill)
            {
                daemon.state.in.prefill_results.push_back(
                    {call.attempt, "handle"});
            }
        }
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            ++handed_over;
            EXPECT_EQ(call.kv_handle, "handle");
            EXPECT_TRUE(call.instance.starts_with("decode"));
        }
    }
    EXPECT_GT(handed_over, 5);
}

TEST(proxy_placement, a_request_that_cannot_be_in_time_is_refused_at_once)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    outbox out;
    for (int i = 0; i < 60 && out.proxy_answers.empty(); ++i)
    {
        daemon.send("/once/1", 1, shared_tokens, unshared_tokens);
        out = daemon.advance(milliseconds(10));
    }
    ASSERT_FALSE(out.proxy_answers.empty());
    EXPECT_EQ(out.proxy_answers.front().code,
              result_code::deadline_unreachable);
    EXPECT_EQ(out.proxy_answers.front().status, 503);
    EXPECT_TRUE(out.proxy_answers.front().retry_after.has_value());
}

// A burst of long prompts that run concurrently on one engine makes all of them
// late, and their KV caches evict the shared parts.
TEST(proxy_placement, long_prompts_wait_for_their_engine_and_short_ones_do_not)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    std::size_t long_calls = 0;
    for (int i = 0; i < 10; ++i)
    {
        daemon.send("/once/1", 1, shared_tokens, unshared_tokens);
        long_calls += daemon.advance(milliseconds(5)).proxy_calls.size();
    }
    EXPECT_LE(long_calls, 4U);
    daemon.send("/chat/1", 2, 0, 900);
    EXPECT_EQ(daemon.advance(milliseconds(5)).proxy_calls.size(), 1U);
}

TEST(proxy_placement, a_failing_endpoint_is_avoided)
{
    proxy_fixture daemon;
    daemon.list_endpoints(4);
    int failing_endpoint_calls = 0;
    for (int i = 0; i < 200; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            bool const bad = call.instance == "desk-1";
            failing_endpoint_calls += bad && i >= 150 ? 1 : 0;
            daemon.reply_head(call.attempt, bad ? 500 : 200);
            daemon.reply_ends(call.attempt, proxy_event_kind::finished);
        }
    }
    EXPECT_LE(failing_endpoint_calls, 6);
}

/// Sets the maximum gap between stream events for all routes.
void set_max_event_gap(proxy_fixture &daemon, duration bound)
{
    auto routing = *daemon.state.proxy.routing;
    for (auto &route : routing.routes)
    {
        route.max_event_gap = bound;
    }
    routing.services.front().tokens_per_event = 7;
    daemon.state.proxy.set_routing(
        std::make_shared<routing_configuration const>(routing));
}

/// Sends a short prompt.
proxy_call send_short(proxy_fixture &daemon, std::uint64_t part)
{
    daemon.send("/once/1", part, 90, 290);
    auto const out = daemon.advance(milliseconds(1));
    EXPECT_EQ(out.proxy_calls.size(), 1U);
    return out.proxy_calls.empty() ? proxy_call{} : out.proxy_calls.front();
}

void send_event(proxy_fixture &daemon, attempt_number stream, int event)
{
    daemon.reply_bytes(stream,
                       "id: " + std::to_string(event) + "\ndata: a\n\n");
}

/// Completes a call, and the decode call that follows it after a prefill call.
void complete_call(proxy_fixture &daemon, proxy_call call)
{
    if (call.stage == proxy_stage::prefill)
    {
        daemon.state.in.prefill_results.push_back({call.attempt, "handle"});
        call = daemon.advance(milliseconds(1)).proxy_calls.at(0);
    }
    daemon.reply_head(call.attempt, 200);
    send_event(daemon, call.attempt, 1);
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    daemon.advance(milliseconds(1));
}

/// Opens streams at all engines in decode role and sends short prompts
/// meanwhile.
///
/// @param pause time between the events of the streams
/// @param bound maximum event gap of the routes
/// @return fraction of the short prompts that engines in prefill role prefill
double separate_prefill_fraction(duration pause, duration bound)
{
    proxy_fixture daemon;
    daemon.list_engines(7, engine_role::decode);
    std::vector<attempt_number> streams;
    std::set<std::string> engines;
    for (std::uint64_t part = 1; engines.size() < 7; ++part)
    {
        auto const call = send_short(daemon, part);
        engines.insert(call.instance);
        streams.push_back(call.attempt);
        daemon.reply_head(streams.back(), 200);
        send_event(daemon, streams.back(), 1);
    }
    daemon.list_engines(5, engine_role::prefill);
    set_max_event_gap(daemon, bound);
    int separate = 0;
    for (int event = 2; event < 12; ++event)
    {
        daemon.advance(pause);
        std::ranges::for_each(streams, [&](attempt_number stream)
                              { send_event(daemon, stream, event); });
        daemon.advance(milliseconds(1));
        for (int i = 0; i < 4; ++i)
        {
            auto const call = send_short(daemon, 99);
            separate += call.stage == proxy_stage::prefill ? 1 : 0;
            complete_call(daemon, call);
        }
    }
    return separate / 40.0;
}

// In the load further/apcm-retornos, bursts of short prompts fill the batch
// steps of the decode engines. Without separate prefill, their streams pause
// for 240 ms and are all late.
TEST(proxy_placement, short_prompts_are_read_apart_where_streams_pause)
{
    EXPECT_GE(separate_prefill_fraction(milliseconds(240), milliseconds(150)),
              0.9);
    EXPECT_EQ(separate_prefill_fraction(milliseconds(40), milliseconds(150)),
              0);
    EXPECT_EQ(separate_prefill_fraction(milliseconds(240), seconds(4)), 0);
}

// Callers leave a stream that does not begin long before the deadline, so a
// request that waits until the deadline is already abandoned.
TEST(proxy_placement, a_stream_is_refused_when_it_would_begin_after_its_caller)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    daemon.state.proxy.instances.find("decode-1")->unread_tokens = 110000;
    daemon.send("/once/1", 1, 0, unshared_tokens);
    auto const out = daemon.advance(milliseconds(10));
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().code,
              result_code::deadline_unreachable);
    EXPECT_TRUE(out.proxy_answers.front().retry_after.has_value());
}

/// Adds 60 daemons, so that this one stops reading engine caches.
void join_large_fleet(proxy_fixture &daemon)
{
    for (int i = 0; i < 60; ++i)
    {
        daemon.state.proxy.daemons["edge-" + std::to_string(i)] = {
            daemon.state.now + hours(1), {}, "zone-a"};
    }
}

// In large deployments a daemon sees few requests for each shared part, and
// parts are evicted before the daemon's view of a cache is refreshed. It then
// assumes that the top-ranked engines cache a part.
TEST(proxy_placement, a_daemon_of_a_large_fleet_counts_on_the_homes_of_parts)
{
    proxy_fixture daemon;
    join_large_fleet(daemon);
    daemon.list_engines(40, engine_role::decode);
    EXPECT_TRUE(daemon.advance(seconds(1)).cache_reads.empty());
    for (std::uint64_t part = 1; part <= 20; ++part)
    {
        std::set<std::string> places;
        for (int i = 0; i < 6; ++i)
        {
            daemon.send("/once/1", part, shared_tokens, unshared_tokens);
            auto const out = daemon.advance(milliseconds(10));
            ASSERT_EQ(out.proxy_calls.size(), 1U);
            auto const &call = out.proxy_calls.front();
            EXPECT_EQ(
                daemon.state.proxy.requests.find(call.attempt)->unread_tokens,
                unshared_tokens);
            places.insert(call.instance);
            daemon.reply_head(call.attempt, 200);
            daemon.reply_ends(call.attempt, proxy_event_kind::finished);
            daemon.advance(milliseconds(10));
        }
        EXPECT_LE(places.size(), 2U);
    }
}

// Comparing all 320 engines for each choice took 5% of a core of each daemon on
// the large deployment.
TEST(proxy_placement, a_choice_among_hundreds_of_engines_compares_a_few)
{
    proxy_fixture daemon;
    join_large_fleet(daemon);
    daemon.list_engines(200, engine_role::decode);
    daemon.list_engines(120, engine_role::prefill);
    int handed_over = 0;
    for (std::uint64_t part = 1; part <= 20; ++part)
    {
        daemon.send("/once/1", part, shared_tokens, unshared_tokens);
        auto const out = daemon.advance(milliseconds(10));
        ASSERT_EQ(out.proxy_calls.size(), 1U);
        auto const &call = out.proxy_calls.front();
        auto const choice = choose_instance(
            daemon.state, *daemon.state.proxy.requests.find(call.request));
        ASSERT_TRUE(choice.has_value());
        EXPECT_LE(choice->candidates, 80);
        if (call.stage == proxy_stage::prefill)
        {
            daemon.state.in.prefill_results.push_back({call.attempt, "handle"});
            auto const next = daemon.advance(milliseconds(10)).proxy_calls;
            ASSERT_EQ(next.size(), 1U);
            EXPECT_TRUE(next.front().instance.starts_with("decode"));
            ++handed_over;
        }
    }
    EXPECT_GT(handed_over, 0);
}

// Prompts must not wait for a busy engine that caches their shared part while
// another engine can copy the part from it.
TEST(proxy_placement, a_busy_home_lends_its_part_in_a_large_fleet)
{
    proxy_fixture daemon;
    join_large_fleet(daemon);
    daemon.list_engines(40, engine_role::decode);
    std::set<std::string> chosen_engines;
    for (int i = 0; i < 2; ++i)
    {
        daemon.send("/once/1", 5, shared_tokens, unshared_tokens);
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            chosen_engines.insert(call.instance);
            auto &chosen_engine =
                *daemon.state.proxy.instances.find(call.instance);
            chosen_engine.peer_unread_tokens = 60000;
        }
    }
    daemon.send("/once/1", 5, shared_tokens, unshared_tokens);
    auto const out = daemon.advance(milliseconds(10));
    ASSERT_EQ(out.proxy_calls.size(), 1U);
    EXPECT_FALSE(chosen_engines.contains(out.proxy_calls.front().instance));
    EXPECT_FALSE(out.proxy_calls.front().prefix_source_address.empty());
}

} // namespace
