// Guards against daemons that see only their own part of an account's work, and
// against reports that are forged, late or corrupt.
#include "account_directory.hpp"
#include "account_load_codec.hpp"
#include "account_state.hpp"
#include "peer_load_codec.hpp"
#include "peer_load_report.hpp"
#include "proxy_fixture.hpp"
#include "random_source.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <numeric>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr char const *service = "models";

void set_accounts(proxy_fixture &daemon)
{
    auto routing = *daemon.state.proxy.routing;
    routing.accounts = std::make_shared<account_directory const>(
        std::vector<account_definition>{{{"ash", {}}, {"k"}}});
    daemon.state.proxy.set_routing(
        std::make_shared<routing_configuration const>(std::move(routing)));
    daemon.tick_now();
}

/// @return work of the account in the other daemons, as known to this one
double remote_work(proxy_fixture const &daemon)
{
    auto const &remote = daemon.state.proxy.accounts->remote;
    return std::accumulate(remote.begin(), remote.end(), 0.0,
                           [](double sum, account_load const &load)
                           { return sum + load.work; });
}

/// Fleet in 3 data centres whose daemons exchange reports without delay.
std::vector<std::unique_ptr<proxy_fixture>> make_fleet(int size)
{
    std::vector<std::unique_ptr<proxy_fixture>> fleet;
    for (int i = 0; i < size; ++i)
    {
        auto &daemon = *fleet.emplace_back(std::make_unique<proxy_fixture>());
        daemon.state.identity.name = std::to_string(i);
        daemon.state.identity.data_centre = "zone-" + std::to_string(i % 3);
        set_accounts(daemon);
    }
    for (auto &daemon : fleet)
    {
        for (auto &peer : fleet)
        {
            auto const &name = peer->state.identity.name;
            daemon->state.proxy.daemons[name] = {
                daemon->state.now, name, peer->state.identity.data_centre};
        }
    }
    return fleet;
}

void run_fleet(std::vector<std::unique_ptr<proxy_fixture>> &fleet,
               duration time)
{
    for (duration done{}; done < time; done += milliseconds(250))
    {
        for (auto &daemon : fleet)
        {
            auto const out = daemon->advance(milliseconds(250));
            for (auto const &send : out.account_load_reports)
            {
                for (auto const &to : send.to)
                {
                    fleet.at(std::stoul(to))
                        ->state.in.account_load_reports.push_back(send.report);
                }
            }
        }
    }
}

TEST(account_exchange, every_daemon_learns_of_work_once_at_any_fleet_size)
{
    for (auto const size : {2, 9, 30})
    {
        auto fleet = make_fleet(size);
        auto &activity =
            fleet[1]->state.proxy.accounts->usage.at(service, "ash");
        activity.requests.add(1000, fleet[1]->state.now);
        activity.sent.add(1000, fleet[1]->state.now);
        activity.work.add(1000, fleet[1]->state.now);
        run_fleet(fleet, seconds(4));
        auto const now = activity.work.at(fleet[1]->state.now);
        EXPECT_NEAR(remote_work(*fleet[1]), 0, now / 4) << size;
        for (auto const &daemon : fleet)
        {
            if (daemon != fleet[1])
            {
                // Reports are up to 3 s old on their way over two hubs.
                EXPECT_GE(remote_work(*daemon), now * 0.99) << size;
                EXPECT_LE(remote_work(*daemon), now * 3) << size;
            }
        }
    }
}

TEST(account_exchange, forged_late_and_expired_reports_are_not_used)
{
    auto fleet = make_fleet(2);
    auto const receive =
        [&fleet](std::string const &sender, int sequence, double work)
    {
        account_load_report report;
        report.sender = sender;
        report.data_centre = "zone-1";
        report.incarnation = 7;
        report.sequence = static_cast<std::uint64_t>(sequence);
        report.loads = {{1, 2, work, work, 1}};
        fleet[0]->state.in.account_load_reports.push_back(
            std::make_shared<account_load_report const>(report));
        fleet[0]->tick_now();
        return remote_work(*fleet[0]);
    };
    EXPECT_EQ(receive("stranger", 1, 5), 0);
    EXPECT_EQ(receive("0", 1, 5), 0);
    EXPECT_EQ(receive("1", 2, 5), 5);
    EXPECT_EQ(receive("1", 1, 9), 5);
    fleet[0]->advance(milliseconds(5100));
    EXPECT_EQ(remote_work(*fleet[0]), 0);
}

TEST(account_exchange, light_accounts_are_reported_together)
{
    std::vector<account_load> loads;
    for (std::uint64_t i = 1; i <= 130; ++i)
    {
        loads.push_back({1, i, 1.0, static_cast<double>(i), 1});
    }
    auto const combined = combine_loads(loads);
    ASSERT_EQ(combined.size(), max_reported_accounts + 1);
    EXPECT_EQ(combined.front().account, 130U);
    EXPECT_EQ(combined.back(), (account_load{1, 0, 30, 465, 30}));
    EXPECT_EQ(combine_loads(combined), combined);
}

TEST(account_exchange, damaged_datagrams_are_dropped)
{
    account_load_report report;
    report.sender = "edge-1";
    report.loads = {{1, 2, 3.5, 4.5, 1}, {1, 0, 8, 9, 30}};
    auto const bytes = encode_account_load(report);
    EXPECT_EQ(decode_account_load(bytes), report);
    EXPECT_FALSE(decode_peer_load(bytes));
    EXPECT_FALSE(decode_peer_load(encode_account_load({})));
    EXPECT_FALSE(decode_account_load(encode_peer_load({})));
    report.loads[0].demand = -1;
    EXPECT_FALSE(decode_account_load(encode_account_load(report)));
    random_source random(1);
    for (int i = 0; i < 20000; ++i)
    {
        auto damaged = bytes.substr(0, random.below(bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
        {
            damaged[random.below(damaged.size())] =
                static_cast<char>(random.below(256));
        }
        auto const decoded = decode_account_load(damaged);
        EXPECT_TRUE(!decoded || decoded->loads.size() <= bytes.size());
    }
}

} // namespace
