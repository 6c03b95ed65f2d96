// Guards against granting a caller its full limit on every daemon, and against
// rejecting a caller because all of its requests reach one daemon.
#include "limit_callers.hpp"
#include "policy_world.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

int admitted_in(world &w, int length_seconds, int requests_per_second)
{
    auto arrival = make_policy_request(w, 1, 100).arrival;
    arrival.caller = "fair";
    int admitted = 0;
    for (int i = 0; i < length_seconds * requests_per_second; ++i)
    {
        w.now += microseconds(1000000 / requests_per_second);
        limit_callers(w);
        admitted += within_limit(w, arrival, w.config.classes.front()) ? 1 : 0;
    }
    return admitted;
}

world limited_world()
{
    auto w = make_policy_world({engine_role::mixed});
    w.config.callers = {{"fair", "account", "", 40, 40}};
    return w;
}

TEST(limit_callers, grants_an_equal_share_without_reports)
{
    auto w = limited_world();
    w.peers.live_daemons = 4;
    auto const admitted = admitted_in(w, 30, 100);
    EXPECT_GE(admitted, 290);
    EXPECT_LE(admitted, 320);
}

TEST(limit_callers, follows_the_demand_that_peers_report)
{
    auto w = limited_world();
    w.peers.live_daemons = 4;
    auto &peer = w.peers.states["daemon-1"];
    peer.condition = peer_condition::live;
    peer.demand = {{"fair", "lookup", 1.0}};
    auto const admitted = admitted_in(w, 30, 100);
    // Nearly the full limit of 40 per second, once the demand is measured.
    EXPECT_GE(admitted, 1000);
    EXPECT_LE(admitted, 1300);
}

} // namespace
