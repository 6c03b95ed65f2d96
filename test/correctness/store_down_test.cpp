// Guards against a daemon that does not start, floods the table service, or
// treats its configuration as confirmed and issues orders or accepts bookings
// when the table service, its peers, or both are down at its start, and against
// one that does not recover from an outage.
#include "apply_configuration.hpp"
#include "renew_leases.hpp"
#include "virtual_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace agateledge
{
namespace
{

configuration first_configuration()
{
    configuration config;
    config.revision = revision_number(1);
    config.summary = "from the settings";
    return config;
}

/// A deployment whose daemons have just started from their settings.
class starting_deployment
{
public:
    starting_deployment()
        : deployment(configuration(), {"rennes-a", "rennes-a"}, 1)
    {
        for (auto &daemon : deployment.daemons())
        {
            daemon.state->config_sync = {};
            apply_initial_configuration(*daemon.state, first_configuration());
        }
        deployment.table_fault = [this](std::size_t, table_call const &)
        {
            ++calls;
            return store_down ? std::optional(table_outcome::unavailable)
                              : std::nullopt;
        };
        deployment.daemon_reachable = [this](std::size_t, std::size_t)
        { return !peers_down; };
    }

    void run(duration length)
    {
        deployment.run_until(deployment.now() + length);
    }

    world &state(std::size_t daemon)
    {
        return *deployment.daemons()[daemon].state;
    }

    virtual_deployment deployment;
    bool store_down = false;
    bool peers_down = false;
    int calls = 0;
};

TEST(store_down, the_first_daemon_writes_the_first_revision)
{
    starting_deployment start;
    start.run(seconds(2));
    EXPECT_EQ(start.state(0).config.revision, revision_number(1));
    EXPECT_EQ(start.state(1).config.revision, revision_number(1));
    EXPECT_FALSE(configuration_stale(start.state(0)));
}

TEST(store_down, a_daemon_without_store_takes_the_revision_of_its_peer)
{
    starting_deployment start;
    start.store_down = true;
    auto current = first_configuration();
    current.revision = revision_number(6);
    activate_configuration(start.state(0), current);
    start.run(seconds(2));
    EXPECT_EQ(start.state(1).config.revision, revision_number(6));
    EXPECT_TRUE(configuration_stale(start.state(1)));
}

TEST(store_down, nothing_is_confirmed_without_store_and_peers)
{
    starting_deployment start;
    start.store_down = true;
    start.peers_down = true;
    start.run(seconds(60));
    EXPECT_TRUE(configuration_stale(start.state(0)));
    EXPECT_FALSE(holds_authority(start.state(0), "rennes-a"));
    EXPECT_EQ(start.state(0).config.summary, "from the settings");
    // Two daemons with two kinds of call each (lease, configuration), one
    // attempt per 2 to 4 s, and a few short back-offs at the start.
    EXPECT_LT(start.calls, 120);
}

TEST(store_down, a_deployment_recovers_after_an_outage)
{
    starting_deployment start;
    start.run(seconds(5));
    start.store_down = true;
    start.run(seconds(30));
    EXPECT_TRUE(configuration_stale(start.state(0)));
    EXPECT_FALSE(holds_authority(start.state(0), "rennes-a") ||
                 holds_authority(start.state(1), "rennes-a"));
    start.store_down = false;
    start.run(seconds(9));
    EXPECT_FALSE(configuration_stale(start.state(0)));
    EXPECT_TRUE(holds_authority(start.state(0), "rennes-a") ||
                holds_authority(start.state(1), "rennes-a"));
}

TEST(store_down, a_draining_daemon_releases_its_lease_at_once)
{
    starting_deployment start;
    start.run(seconds(5));
    std::size_t const holder =
        holds_authority(start.state(0), "rennes-a") ? 0 : 1;
    start.state(holder).draining = true;
    start.run(seconds(2));
    EXPECT_TRUE(leases_released(start.state(holder)));
    EXPECT_TRUE(holds_authority(start.state(1 - holder), "rennes-a"));
}

} // namespace
} // namespace agateledge
