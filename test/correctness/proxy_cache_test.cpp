// Guards against repeated prefill of shared prompt parts that an engine already
// holds. In a burst of long prompts that arrive at several daemons, each token
// that is computed again delays the prompts queued behind it.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace
{

using namespace agateledge;

constexpr int shared_tokens = 13300;
constexpr int unshared_tokens = 3700;
constexpr std::uint64_t part = 7;

cache_read_reply changes_of(std::string const &engine, std::string const &epoch,
                            std::vector<cache_change> const &changes)
{
    cache_read_reply reply;
    reply.instance = engine;
    reply.answered = true;
    reply.epoch = epoch;
    reply.last_change = changes.size();
    reply.changes = changes;
    return reply;
}

void apply_reply(proxy_fixture &daemon, cache_read_reply const &reply)
{
    daemon.state.in.cache_read_replies.push_back(reply);
    daemon.tick_now();
}

proxy_call send_prompt(proxy_fixture &daemon)
{
    daemon.send("/once/1", part, shared_tokens, unshared_tokens);
    auto const out = daemon.advance(milliseconds(10));
    EXPECT_EQ(out.proxy_calls.size(), 1U);
    return out.proxy_calls.empty() ? proxy_call{} : out.proxy_calls.front();
}

std::string address_of(proxy_fixture &daemon, std::string const &engine)
{
    return daemon.state.proxy.instances.find(engine)->definition.address;
}

TEST(proxy_cache, a_part_that_another_daemon_had_read_is_used_where_it_lies)
{
    for (auto const *holder : {"decode-2", "decode-5"})
    {
        proxy_fixture daemon;
        daemon.list_engines(6, engine_role::decode);
        apply_reply(daemon,
                    changes_of(holder, "1", {{"m", part, shared_tokens}}));
        EXPECT_EQ(send_prompt(daemon).instance, holder);
    }
}

TEST(proxy_cache, a_busy_holder_lends_its_part_to_another_engine)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    apply_reply(daemon,
                changes_of("decode-2", "1", {{"m", part, shared_tokens}}));
    daemon.state.proxy.instances.find("decode-2")->unread_tokens = 90000;
    auto const call = send_prompt(daemon);
    EXPECT_NE(call.instance, "decode-2");
    EXPECT_EQ(call.prefix_source_address, address_of(daemon, "decode-2"));
    auto const &attempt = *daemon.state.proxy.requests.find(call.attempt);
    EXPECT_EQ(attempt.unread_tokens, unshared_tokens);
}

TEST(proxy_cache, a_part_that_left_the_cache_is_not_counted_on)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    apply_reply(daemon,
                changes_of("decode-2", "1",
                           {{"m", part, shared_tokens}, {"m", part, 0}}));
    auto const call = send_prompt(daemon);
    auto const &attempt = *daemon.state.proxy.requests.find(call.attempt);
    EXPECT_EQ(attempt.unread_tokens, shared_tokens + unshared_tokens);
}

TEST(proxy_cache, a_restarted_engine_holds_nothing)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    apply_reply(daemon,
                changes_of("decode-2", "1", {{"m", part, shared_tokens}}));
    apply_reply(daemon, changes_of("decode-2", "2", {}));
    auto const call = send_prompt(daemon);
    auto const &attempt = *daemon.state.proxy.requests.find(call.attempt);
    EXPECT_EQ(attempt.unread_tokens, shared_tokens + unshared_tokens);
}

TEST(proxy_cache, parts_before_a_missing_one_do_not_count)
{
    prompt_shape prompt;
    prompt.model = "m";
    prompt.parts = {{1, 2520}, {2, 3780}, {3, 2890}};
    auto const chain = shared_chain_of(prompt);
    prompt_cache_view cache;
    cache.apply_change({"m", 2, 3780}, instant{});
    EXPECT_EQ(cache.copyable_tokens(chain), 0);
    cache.apply_change({"other", 1, 2520}, instant{});
    EXPECT_EQ(cache.copyable_tokens(chain), 0);
    cache.apply_change({"m", 1, 2520}, instant{});
    EXPECT_EQ(cache.copyable_tokens(chain), 6300);
}

// Reads of an engine that does not answer must be limited in their rate.
TEST(proxy_cache, reads_of_a_cache_are_bounded)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::decode);
    // Completes the read that was started when the engine was listed.
    cache_read_reply failed;
    failed.instance = "decode-1";
    apply_reply(daemon, failed);
    int reads = 0;
    for (int i = 0; i < 1000; ++i)
    {
        for (auto const &read : daemon.advance(milliseconds(10)).cache_reads)
        {
            ++reads;
            failed.instance = read.instance;
            daemon.state.in.cache_read_replies.push_back(failed);
        }
    }
    EXPECT_GE(reads, 5);
    EXPECT_LE(reads, 11);
}

} // namespace
