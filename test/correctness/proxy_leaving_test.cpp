// Guards against new requests for an instance that announced in a reply that it
// leaves, while its directory entry says otherwise, lapses or comes back.
#include "proxy_fixture.hpp"
#include "random_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr std::int64_t first_start_ms = 1700000000000;

instance_definition endpoint(std::string const &id, std::int64_t started_at_ms)
{
    instance_definition out;
    out.id = id;
    out.service = "desk";
    out.address = "10.0.1." + id.substr(id.size() - 1) + ":80";
    out.data_centre = "zone-a";
    out.started_at_ms = started_at_ms;
    return out;
}

void list_endpoints(proxy_fixture &daemon, int count)
{
    for (int i = 1; i <= count; ++i)
    {
        daemon.list(endpoint("desk-" + std::to_string(i), first_start_ms));
    }
}

void reply(proxy_fixture &daemon, proxy_call const &call, int status,
           bool not_run, bool leaves)
{
    proxy_reply_head head;
    head.status = status;
    head.not_run = not_run;
    head.is_signed = !not_run;
    head.instance_leaves = leaves;
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

/// Sends requests and answers them; the instance `leaving` announces in its
/// first reply that it leaves.
///
/// @return calls to that instance after its announcement
int calls_after_announcement(proxy_fixture &daemon, std::string const &leaving,
                             int requests = 40)
{
    bool announced = false;
    int after = 0;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
        {
            bool const to_leaving = call.instance == leaving;
            after += to_leaving && announced ? 1 : 0;
            announced |= to_leaving;
            reply(daemon, call, 200, false, to_leaving);
        }
    }
    EXPECT_TRUE(announced);
    return after;
}

/// @return calls to the instance, of the given number of requests, that are
///         answered without an announcement
int calls_to(proxy_fixture &daemon, std::string const &instance,
             int requests = 40)
{
    int calls = 0;
    for (int i = 0; i < requests; ++i)
    {
        daemon.send("/look/1");
        for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
        {
            calls += call.instance == instance ? 1 : 0;
            reply(daemon, call, 200, false, false);
        }
    }
    return calls;
}

void store_returns_without(proxy_fixture &daemon,
                           std::vector<std::string> const &ids)
{
    daemon.store_fails();
    daemon.advance(seconds(3));
    daemon.instances_changed({}, ids);
}

TEST(proxy_leaving, an_announced_leaver_gets_no_new_request)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 3);
    EXPECT_EQ(calls_after_announcement(daemon, "desk-1"), 0);
    daemon.advance(seconds(30));
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, a_row_that_says_ready_does_not_end_the_announcement)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 3);
    calls_after_announcement(daemon, "desk-1");
    daemon.instances_changed({"desk-1"}, {});
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, a_full_read_does_not_end_the_announcement)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 3);
    calls_after_announcement(daemon, "desk-1");
    row_read_reply full;
    full.table = polled_table::instances;
    full.full = true;
    full.outcome = row_outcome::answered;
    for (int i = 1; i <= 3; ++i)
    {
        instance_row row;
        row.id = "desk-" + std::to_string(i);
        row.row_version = 1000;
        row.instance = std::make_shared<instance_definition const>(
            endpoint(row.id, first_start_ms));
        full.instances.push_back(row);
    }
    full.version = 1000;
    daemon.state.in.row_read_replies.push_back(full);
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, a_row_that_is_listed_again_does_not_end_the_announcement)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 3);
    calls_after_announcement(daemon, "desk-1");
    daemon.instances_changed({}, {"desk-1"});
    daemon.advance(seconds(20));
    daemon.list(endpoint("desk-1", first_start_ms));
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, an_outage_of_the_store_does_not_end_the_announcement)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 3);
    calls_after_announcement(daemon, "desk-1");
    store_returns_without(daemon, {"desk-1", "desk-2", "desk-3"});
    EXPECT_EQ(calls_to(daemon, "desk-1", 10), 0);
    daemon.advance(seconds(3));
    list_endpoints(daemon, 3);
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, a_reply_after_the_row_is_gone_still_counts)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 1);
    daemon.send("/look/1");
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    daemon.instances_changed({}, {"desk-1"});
    reply(daemon, calls.front(), 200, false, true);
    daemon.tick_now();
    list_endpoints(daemon, 2);
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, a_new_incarnation_is_used)
{
    for (auto const *address : {"10.0.1.1:80", "10.0.1.9:80"})
    {
        proxy_fixture daemon;
        list_endpoints(daemon, 3);
        calls_after_announcement(daemon, "desk-1");
        auto restarted = endpoint("desk-1", first_start_ms + 60000);
        restarted.address = address;
        daemon.list(restarted);
        EXPECT_GT(calls_to(daemon, "desk-1"), 0) << address;
    }
}

// The old incarnation may still answer when the new one is listed already.
TEST(proxy_leaving, a_late_reply_of_the_old_incarnation_spares_the_new_one)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 1);
    daemon.send("/look/1");
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    daemon.list(endpoint("desk-1", first_start_ms + 60000));
    reply(daemon, calls.front(), 200, false, true);
    daemon.tick_now();
    EXPECT_GT(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, refusals_and_errors_announce_it_too)
{
    for (auto const &[status, not_run] :
         {std::pair{503, true}, std::pair{429, true}, std::pair{500, false},
          std::pair{400, false}})
    {
        proxy_fixture daemon;
        list_endpoints(daemon, 1);
        daemon.send("/book/1");
        auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
        ASSERT_EQ(calls.size(), 1U);
        reply(daemon, calls.front(), status, not_run, true);
        list_endpoints(daemon, 1);
        EXPECT_EQ(calls_to(daemon, "desk-1", 5), 0) << status;
    }
}

TEST(proxy_leaving, a_refused_request_is_not_sent_to_the_leaver_again)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 1);
    daemon.send("/book/1");
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    reply(daemon, calls.front(), 503, true, true);
    auto const out = daemon.advance(milliseconds(200));
    EXPECT_TRUE(out.proxy_calls.empty());
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().status, 503);
}

// The entry at a reused address belongs to another instance.
TEST(proxy_leaving, another_instance_at_the_address_does_not_announce_for_it)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 1);
    daemon.send("/book/1");
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    proxy_reply_head head;
    head.status = 421;
    head.not_run = true;
    head.wrong_instance = true;
    head.instance_leaves = true;
    proxy_event event;
    event.attempt = calls.front().attempt;
    event.head = std::make_shared<proxy_reply_head const>(head);
    daemon.state.in.proxy_events.push_back(event);
    daemon.advance(milliseconds(20));
    daemon.instances_changed({"desk-1"}, {});
    EXPECT_GT(calls_to(daemon, "desk-1", 5), 0);
}

TEST(proxy_leaving, a_waiting_request_goes_elsewhere)
{
    proxy_fixture daemon;
    daemon.list_engines(2, engine_role::mixed);
    daemon.send("/chat/1", 7, 1000);
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    auto const leaving = calls.front().instance;
    daemon.send("/chat/1", 7, 1000);
    reply(daemon, calls.front(), 200, false, true);
    for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
    {
        EXPECT_NE(call.instance, leaving);
    }
}

TEST(proxy_leaving, a_stream_is_not_resumed_at_the_leaver)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::mixed);
    daemon.send("/chat/1", 7, 1000);
    auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(calls.size(), 1U);
    proxy_reply_head head;
    head.status = 200;
    head.is_signed = true;
    head.instance_leaves = true;
    proxy_event event;
    event.attempt = calls.front().attempt;
    event.head = std::make_shared<proxy_reply_head const>(head);
    daemon.state.in.proxy_events.push_back(event);
    daemon.reply_bytes(calls.front().attempt, "id: 1\ndata: a\n\n");
    daemon.advance(milliseconds(20));
    daemon.reply_ends(calls.front().attempt,
                      proxy_event_kind::failed_after_send);
    EXPECT_TRUE(daemon.advance(milliseconds(200)).proxy_calls.empty());
}

TEST(proxy_leaving, a_kept_prompt_of_the_leaver_is_still_fetched)
{
    proxy_fixture daemon;
    daemon.list_engines(1, engine_role::prefill);
    daemon.list_engines(1, engine_role::decode);
    daemon.send("/chat/1", 7, 9000);
    auto const prefill = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(prefill.size(), 1U);
    ASSERT_EQ(prefill.front().stage, proxy_stage::prefill);
    proxy_reply_head head;
    head.status = 200;
    head.instance_leaves = true;
    proxy_event event;
    event.attempt = prefill.front().attempt;
    event.head = std::make_shared<proxy_reply_head const>(head);
    daemon.state.in.proxy_events.push_back(event);
    daemon.tick_now();
    daemon.state.in.prefill_results.push_back(
        {prefill.front().attempt, "handle-1"});
    auto const run = daemon.advance(milliseconds(20)).proxy_calls;
    ASSERT_EQ(run.size(), 1U);
    EXPECT_EQ(run.front().instance, "decode-1");
    EXPECT_EQ(run.front().kv_handle, "handle-1");
    daemon.send("/chat/1", 8, 9000);
    for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
    {
        EXPECT_EQ(call.instance, "decode-1");
    }
}

// Without a known start, only the address tells a restart.
TEST(proxy_leaving, an_instance_of_unknown_start_is_avoided_at_its_address)
{
    proxy_fixture daemon;
    daemon.list(endpoint("desk-1", 0));
    daemon.list(endpoint("desk-2", 0));
    calls_after_announcement(daemon, "desk-1");
    daemon.instances_changed({}, {"desk-1"});
    daemon.list(endpoint("desk-1", 0));
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
    daemon.list(endpoint("desk-1", first_start_ms));
    EXPECT_EQ(calls_to(daemon, "desk-1"), 0);
    auto moved = endpoint("desk-1", 0);
    moved.address = "10.0.1.9:80";
    daemon.list(moved);
    EXPECT_GT(calls_to(daemon, "desk-1"), 0);
}

TEST(proxy_leaving, announcements_are_kept_while_listed_and_forgotten_after)
{
    proxy_fixture daemon;
    list_endpoints(daemon, 2);
    calls_after_announcement(daemon, "desk-1");
    auto const pass = [&daemon](duration time)
    {
        daemon.state.now += time;
        daemon.tick_now();
    };
    for (int i = 0; i < 60; ++i)
    {
        pass(minutes(1));
    }
    EXPECT_EQ(calls_to(daemon, "desk-1", 5), 0);
    daemon.instances_changed({}, {"desk-1"});
    pass(minutes(5));
    EXPECT_EQ(daemon.state.proxy.leaving_instances.size(), 1U);
    pass(minutes(6));
    EXPECT_EQ(daemon.state.proxy.leaving_instances.size(), 0U);
}

TEST(proxy_leaving, the_number_of_announcements_is_bounded)
{
    incarnation_deadlines deadlines;
    constexpr int extra = 10;
    auto const limit = static_cast<int>(incarnation_deadlines::max_entries);
    for (int i = 0; i < limit + extra; ++i)
    {
        deadlines.extend({"i-" + std::to_string(i), "10.0.0.1:80", 1},
                         instant(seconds(i + 1)));
    }
    EXPECT_EQ(deadlines.size(), incarnation_deadlines::max_entries);
    instance_definition oldest = endpoint("i-0", 1);
    EXPECT_FALSE(deadlines.find(oldest));
    instance_definition newest =
        endpoint("i-" + std::to_string(limit + extra - 1), 1);
    EXPECT_TRUE(deadlines.find(newest));
}

/// Endpoints that leave, restart, and lose and regain their rows at random.
class endpoint_play
{
public:
    explicit endpoint_play(std::uint64_t seed) : random_(seed)
    {
        list_endpoints(daemon_, endpoint_count);
    }

    /// Changes something now and then, and plays one request.
    void step()
    {
        if (random_.below(30) == 0)
        {
            change(random_.below(endpoint_count));
        }
        daemon_.send(random_.below(2) == 0 ? "/book/1" : "/look/1");
        auto const calls = daemon_.advance(milliseconds(10)).proxy_calls;
        // All calls of a tick are sent before the first reply to one of them.
        for (auto const &call : calls)
        {
            ++calls_;
            broken_ += endpoints_[index_of(call.instance)].announced ? 1 : 0;
        }
        for (auto const &call : calls)
        {
            auto &called = endpoints_[index_of(call.instance)];
            called.announced |= called.leaving;
            reply(daemon_, call, 200, false, called.leaving);
        }
    }

    int calls() const { return calls_; }
    /// @return calls to an incarnation that had announced that it leaves
    int broken() const { return broken_; }

private:
    static constexpr std::size_t endpoint_count = 6;

    struct played_endpoint
    {
        std::int64_t started_at_ms = first_start_ms;
        bool leaving = false;
        bool announced = false;
    };

    static std::size_t index_of(std::string const &id)
    {
        return static_cast<std::size_t>(id.back() - '1');
    }

    void change(std::size_t index)
    {
        auto &changed = endpoints_[index];
        auto const id = "desk-" + std::to_string(index + 1);
        switch (random_.below(6))
        {
        case 0:
            changed.leaving = true;
            return;
        case 1:
            changed = {changed.started_at_ms + 1000, false, false};
            break;
        case 2:
            daemon_.instances_changed({}, {id});
            return;
        case 3:
            daemon_.store_fails();
            return;
        case 4:
            daemon_.advance(seconds(1 + random_.below(40)));
            return;
        default:
            break;
        }
        daemon_.list(endpoint(id, changed.started_at_ms));
    }

    proxy_fixture daemon_;
    random_source random_;
    std::array<played_endpoint, endpoint_count> endpoints_;
    int calls_ = 0;
    int broken_ = 0;
};

TEST(proxy_leaving, no_announced_leaver_is_called_in_random_plays)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        endpoint_play play(seed);
        for (int i = 0; i < 2000; ++i)
        {
            play.step();
        }
        EXPECT_EQ(play.broken(), 0) << "seed " << seed;
        EXPECT_GT(play.calls(), 1000) << "seed " << seed;
    }
}

} // namespace
