// Guards the placement under the heaviest load, bursts of long prompts with
// shared parts: prompts must return to the engine that has read their shared
// parts, and daemons must agree on it without messages.
#include "relay_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace
{

using namespace agateledge;

constexpr int shared_tokens = 13300;
constexpr int own_tokens = 3700;

/// Sends one request and answers its call at once.
std::string home_of(relay_fixture &daemon, std::uint64_t part)
{
    daemon.send("/once/1", part, shared_tokens, own_tokens);
    auto const out = daemon.advance(milliseconds(10));
    EXPECT_EQ(out.relay_calls.size(), 1U);
    auto const &call = out.relay_calls.front();
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\n");
    daemon.reply_ends(call.attempt, relay_event_kind::finished);
    daemon.advance(seconds(10));
    return call.instance;
}

TEST(relay_placement, daemons_agree_on_the_home_of_a_shared_part)
{
    relay_fixture one;
    relay_fixture other;
    one.list_engines(12, engine_role::decode);
    other.list_engines(12, engine_role::decode);
    std::set<std::string> homes;
    for (std::uint64_t part = 1; part <= 24; ++part)
    {
        auto const home = home_of(one, part);
        EXPECT_EQ(home_of(other, part), home);
        homes.insert(home);
    }
    EXPECT_GE(homes.size(), 8U);
}

// Calls of a burst that stay at the home of their part read 3,700 tokens, those
// that leave it 17,000.
TEST(relay_placement, a_burst_reads_few_shared_parts_again)
{
    relay_fixture daemon;
    daemon.list_engines(12, engine_role::decode);
    std::map<std::uint64_t, std::set<std::string>> places;
    for (int i = 0; i < 120; ++i)
    {
        auto const part = static_cast<std::uint64_t>(1 + i % 24);
        daemon.send("/once/1", part, shared_tokens, own_tokens);
        for (auto const &call : daemon.advance(milliseconds(10)).relay_calls)
        {
            places[part].insert(call.instance);
        }
    }
    EXPECT_TRUE(std::ranges::all_of(places, [](auto const &item)
                                    { return item.second.size() <= 3; }));
}

TEST(relay_placement, a_prompt_that_was_read_goes_on_at_a_decode_engine)
{
    relay_fixture daemon;
    daemon.list_engines(8, engine_role::decode);
    daemon.list_engines(4, engine_role::prefill);
    int handed_over = 0;
    for (std::uint64_t part = 1; part <= 40; ++part)
    {
        daemon.send("/once/1", part, shared_tokens, own_tokens);
        for (auto const &call : daemon.advance(milliseconds(10)).relay_calls)
        {
            if (call.stage == relay_stage::prefill)
            {
                daemon.state.in.prefill_results.push_back(
                    {call.attempt, "handle"});
            }
        }
        for (auto const &call : daemon.advance(milliseconds(10)).relay_calls)
        {
            ++handed_over;
            EXPECT_EQ(call.kv_handle, "handle");
            EXPECT_TRUE(call.instance.starts_with("decode"));
        }
    }
    EXPECT_GT(handed_over, 5);
}

TEST(relay_placement, a_request_that_cannot_be_in_time_is_refused_at_once)
{
    relay_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    outbox out;
    for (int i = 0; i < 60 && out.relay_answers.empty(); ++i)
    {
        daemon.send("/once/1", 1, shared_tokens, own_tokens);
        out = daemon.advance(milliseconds(10));
    }
    ASSERT_FALSE(out.relay_answers.empty());
    EXPECT_EQ(out.relay_answers.front().code,
              result_code::deadline_unreachable);
    EXPECT_EQ(out.relay_answers.front().status, 503);
    EXPECT_TRUE(out.relay_answers.front().retry_after.has_value());
}

// Side by side on one engine, all of a burst of long prompts are late, and
// their memory displaces the shared parts.
TEST(relay_placement, long_prompts_wait_for_their_engine_and_short_ones_do_not)
{
    relay_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    std::size_t long_calls = 0;
    for (int i = 0; i < 10; ++i)
    {
        daemon.send("/once/1", 1, shared_tokens, own_tokens);
        long_calls += daemon.advance(milliseconds(5)).relay_calls.size();
    }
    EXPECT_LE(long_calls, 4U);
    daemon.send("/chat/1", 2, 0, 900);
    EXPECT_EQ(daemon.advance(milliseconds(5)).relay_calls.size(), 1U);
}

TEST(relay_placement, a_failing_endpoint_is_avoided)
{
    relay_fixture daemon;
    daemon.list_endpoints(4);
    int late_calls = 0;
    for (int i = 0; i < 200; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(10)).relay_calls)
        {
            bool const bad = call.instance == "desk-1";
            late_calls += bad && i >= 150 ? 1 : 0;
            daemon.reply_head(call.attempt, bad ? 500 : 200);
            daemon.reply_ends(call.attempt, relay_event_kind::finished);
        }
    }
    EXPECT_LE(late_calls, 6);
}

} // namespace
