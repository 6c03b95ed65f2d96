// Guards against a daemon with outdated state of its peers: a killed or
// partitioned peer that counts as live, an old heartbeat that is applied, the
// load of a silent peer that stays counted, and work sent to a leaving host.
#include "apply_configuration.hpp"
#include "tick.hpp"
#include "track_peers.hpp"
#include "virtual_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace agateledge
{
namespace
{

configuration one_engine()
{
    configuration config;
    config.revision = revision_number(1);
    engine_definition engine;
    engine.name = "engine-1";
    engine.address = "10.0.0.9:9001";
    engine.data_centre = "rennes-a";
    config.engines = {engine};
    return config;
}

heartbeat heartbeat_of(std::uint64_t incarnation, std::uint64_t sequence,
                       int requests)
{
    heartbeat message;
    message.from = "daemon-7";
    message.address = "daemon-7";
    message.data_centre = "rennes-a";
    message.incarnation = incarnation_number(incarnation);
    message.sequence = sequence;
    message.shares = {{"engine-1", requests, 0, 0}};
    return message;
}

class one_daemon : public testing::Test
{
protected:
    one_daemon()
        : state({"daemon-0", incarnation_number(1), "rennes-a", "daemon-0"}, 1)
    {
        activate_configuration(state, one_engine());
    }

    void receive(heartbeat const &message, duration later = milliseconds(10))
    {
        state.in.heartbeats.push_back(message);
        run(later);
    }

    void run(duration later)
    {
        state.out = {};
        tick(state, state.now + later);
    }

    int peer_requests() const { return state.engines.all()[0].peer_requests; }

    world state;
};

TEST_F(one_daemon, drops_heartbeats_that_are_older_than_the_last_one)
{
    receive(heartbeat_of(5, 10, 3));
    receive(heartbeat_of(5, 9, 1));
    EXPECT_EQ(peer_requests(), 3);
    receive(heartbeat_of(4, 99, 1));
    EXPECT_EQ(peer_requests(), 3);
    receive(heartbeat_of(6, 1, 2));
    EXPECT_EQ(peer_requests(), 2);
}

TEST_F(one_daemon, forgets_the_load_of_a_silent_peer)
{
    receive(heartbeat_of(1, 1, 3));
    EXPECT_EQ(live_daemons(state), 2);
    run(seconds(4));
    EXPECT_EQ(peer_requests(), 0);
    EXPECT_EQ(live_daemons(state), 1);
}

TEST_F(one_daemon, an_old_confirmation_does_not_count_as_a_new_one)
{
    auto message = heartbeat_of(1, 1, 0);
    message.revision = revision_number(1);
    message.revision_age_us = 0;
    receive(message);
    EXPECT_TRUE(configuration_stale(state));
    run(seconds(1));
    ASSERT_EQ(state.out.peer_calls.size(), 1U);
    message.answered_sequence = state.out.peer_calls[0].message.sequence;
    message.sequence = 2;
    receive(message);
    EXPECT_FALSE(configuration_stale(state));
}

TEST_F(one_daemon, gives_no_work_to_an_engine_on_a_leaving_host)
{
    EXPECT_TRUE(state.engines.all()[0].takes_work());
    state.in.membership_reports.push_back(
        {{{"host-9", "rennes-a", "10.0.0.9", true, false}}});
    run(milliseconds(1));
    EXPECT_FALSE(state.engines.all()[0].takes_work());
    state.in.membership_reports.push_back(
        {{{"host-9", "rennes-a", "10.0.0.9", false, false}}});
    run(milliseconds(1));
    EXPECT_TRUE(state.engines.all()[0].takes_work());
}

// Guards against heartbeats that exceed the control budget of 8 KB/s in a large
// fleet, and against a peer of the local data centre that is never called.
TEST_F(one_daemon, calls_every_near_peer_within_the_control_budget)
{
    constexpr int local_peers = 34;
    constexpr int duration_seconds = 60;
    for (int i = 1; i <= 2 * local_peers; ++i)
    {
        auto const name = "daemon-" + std::to_string(i);
        add_peer(state, name, name, i <= local_peers ? "rennes-a" : "brest");
    }
    std::set<std::string> called;
    std::size_t calls = 0;
    for (int round = 0; round < 2 * duration_seconds; ++round)
    {
        run(milliseconds(500));
        calls += state.out.peer_calls.size();
        for (auto const &call : state.out.peer_calls)
        {
            called.insert(call.peer);
        }
    }
    auto const local_called = std::ranges::count_if(
        called, [](std::string const &name)
        { return std::stoi(name.substr(7)) <= local_peers; });
    EXPECT_EQ(local_called, local_peers);
    EXPECT_GT(called.size(), static_cast<std::size_t>(local_peers));
    // A daemon makes these calls and answers as many; a call and its answer
    // with empty lists have 900 bytes.
    constexpr std::size_t budget_bytes = 8000;
    EXPECT_LE(calls * 900 * 2 / duration_seconds, budget_bytes);
}

TEST(membership, live_daemons_follow_a_partition)
{
    virtual_deployment deployment(
        one_engine(), {"rennes-a", "rennes-a", "brest", "brest"}, 1);
    deployment.run_until(instant(seconds(3)));
    auto const live = [&deployment](std::size_t daemon)
    { return live_daemons(*deployment.daemons()[daemon].state); };
    EXPECT_EQ(live(0), 4);
    deployment.daemon_reachable = [](std::size_t from, std::size_t to)
    { return (from < 2) == (to < 2); };
    deployment.run_until(instant(seconds(8)));
    EXPECT_EQ(live(0), 2);
    EXPECT_EQ(live(3), 2);
    deployment.daemon_reachable = {};
    deployment.run_until(instant(seconds(13)));
    EXPECT_EQ(live(0), 4);
}

} // namespace
} // namespace agateledge
