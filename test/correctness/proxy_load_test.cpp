// Guards against long prompts that queue at one engine while others are idle,
// which happens when each daemon of a fleet knows only its own calls. Also
// guards against load reports that are lost, late, forged or corrupt.
#include "exchange_loads.hpp"
#include "peer_load_codec.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int shared_tokens = 13300;
constexpr int unshared_tokens = 3700;

/// Simulated fleet in several data centres whose daemons exchange load reports.
class simulated_fleet
{
public:
    simulated_fleet(int daemons, int data_centres, int engines)
    {
        for (int i = 0; i < daemons; ++i)
        {
            auto daemon = std::make_unique<proxy_fixture>();
            auto &identity = daemon->state.identity;
            identity.name = "edge-" + std::to_string(i);
            identity.data_centre = "zone-" + std::to_string(i % data_centres);
            daemon->list_engines(engines, engine_role::decode);
            by_address_["address-" + identity.name] = daemon.get();
            members.push_back(std::move(daemon));
        }
        for (auto &daemon : members)
        {
            for (auto const &peer : members)
            {
                auto const &identity = peer->state.identity;
                daemon->state.proxy.daemons[identity.name] = {
                    daemon->state.now + hours(1), "address-" + identity.name,
                    identity.data_centre};
            }
        }
    }

    /// Advances all daemons; reports are delivered after each step of 10 ms,
    /// except for a share of `lost_share` that is dropped.
    void advance(duration time)
    {
        for (duration done{}; done < time; done += milliseconds(10))
        {
            std::vector<peer_load_send> sent;
            for (auto &daemon : members)
            {
                auto out = daemon->advance(milliseconds(10));
                std::ranges::move(out.proxy_calls, std::back_inserter(calls));
                std::ranges::move(out.peer_load_reports,
                                  std::back_inserter(sent));
            }
            deliver(sent);
        }
    }

    double lost_share = 0;
    std::map<std::string, std::size_t> delivered_to;
    std::vector<proxy_call> calls;
    std::vector<std::unique_ptr<proxy_fixture>> members;

private:
    void deliver(std::vector<peer_load_send> const &sent)
    {
        for (auto const &item : sent)
        {
            auto const report =
                decode_peer_load(encode_peer_load(*item.report));
            ASSERT_EQ(report, *item.report);
            for (auto const &address : item.to)
            {
                if (random_.uniform() < lost_share)
                {
                    continue;
                }
                ++delivered_to[address];
                by_address_.at(address)->state.in.peer_load_reports.push_back(
                    *report);
            }
        }
    }

    std::map<std::string, proxy_fixture *> by_address_;
    random_source random_{1};
};

/// @return the largest number of prompts that were sent to one engine
std::size_t max_calls_of_one_engine(std::vector<proxy_call> const &calls)
{
    std::map<std::string, std::size_t> counts;
    std::ranges::for_each(calls, [&counts](proxy_call const &call)
                          { ++counts[call.instance]; });
    return std::ranges::max_element(
               counts, {}, [](auto const &item) { return item.second; })
        ->second;
}

// Prompts with one popular shared part arrive at 30 daemons. Without load
// reports, all would go to the preferred engine of that part; 12 engines can
// prefill 60 prompts at the same time.
TEST(proxy_load, a_burst_through_many_daemons_spreads_over_idle_engines)
{
    simulated_fleet fleet(30, 3, 12);
    fleet.advance(milliseconds(500));
    for (int round = 0; round < 2; ++round)
    {
        for (auto &daemon : fleet.members)
        {
            daemon->send("/once/1", 7, shared_tokens, unshared_tokens);
            fleet.advance(milliseconds(20));
        }
    }
    fleet.advance(seconds(1));
    ASSERT_GE(fleet.calls.size(), 55U);
    EXPECT_LE(max_calls_of_one_engine(fleet.calls), 15U);
}

/// @return for each daemon, the prompt tokens of other daemons that it knows of
///         at an engine
std::vector<std::int64_t> known_tokens(simulated_fleet const &fleet,
                                       std::string const &engine)
{
    std::vector<std::int64_t> out;
    std::ranges::transform(fleet.members, std::back_inserter(out),
                           [&engine](auto const &daemon) {
                               return daemon->state.proxy.instances
                                   .find(engine)
                                   ->peer_unread_tokens;
                           });
    return out;
}

void add_work(proxy_fixture &daemon, std::string const &engine)
{
    auto &instance = *daemon.state.proxy.instances.find(engine);
    instance.open_calls.insert(attempt_number(999));
    instance.unread_tokens = 5000;
}

TEST(proxy_load, every_daemon_learns_of_work_once_at_any_fleet_size)
{
    for (int const size : {2, 5, 9, 10, 30, 100})
    {
        simulated_fleet fleet(size, std::min(size, 4), 3);
        fleet.advance(milliseconds(500));
        add_work(*fleet.members.front(), "decode-2");
        fleet.advance(milliseconds(1000));
        auto const known = known_tokens(fleet, "decode-2");
        EXPECT_EQ(known.front(), 0) << size;
        EXPECT_EQ(std::ranges::count(known, 5000), size - 1) << size;
    }
}

TEST(proxy_load, lost_reports_are_replaced_by_the_next_ones)
{
    simulated_fleet fleet(30, 3, 3);
    fleet.lost_share = 0.2;
    fleet.advance(milliseconds(500));
    add_work(*fleet.members.front(), "decode-2");
    fleet.advance(seconds(2));
    auto const known = known_tokens(fleet, "decode-2");
    EXPECT_EQ(std::ranges::count(known, 5000), 29);
}

// The number of reports that a daemon receives must not grow with the fleet. A
// hub receives reports of the daemons in its own data centre.
TEST(proxy_load, few_reports_reach_a_daemon_of_a_large_fleet)
{
    simulated_fleet fleet(100, 5, 3);
    fleet.advance(seconds(2));
    std::size_t hubs = 0;
    for (auto const &[address, count] : fleet.delivered_to)
    {
        hubs += count > 25 ? 1 : 0;
        EXPECT_LE(count, 30U * 2 * 10) << address;
    }
    EXPECT_LE(hubs, 5U);
}

TEST(proxy_load, the_work_of_a_silent_daemon_is_forgotten)
{
    simulated_fleet fleet(3, 1, 3);
    fleet.advance(milliseconds(500));
    add_work(*fleet.members.front(), "decode-2");
    fleet.advance(milliseconds(500));
    ASSERT_EQ(known_tokens(fleet, "decode-2").back(), 5000);
    auto &last = *fleet.members.back();
    last.advance(milliseconds(1500));
    EXPECT_EQ(last.state.proxy.instances.find("decode-2")->peer_unread_tokens,
              0);
}

TEST(proxy_load, a_restarted_engine_has_no_work_of_its_former_self)
{
    simulated_fleet fleet(2, 1, 3);
    fleet.advance(milliseconds(500));
    add_work(*fleet.members.front(), "decode-2");
    auto &other = *fleet.members.back();
    auto restarted = other.state.proxy.instances.find("decode-2")->definition;
    restarted.started_at_ms = 7;
    other.list(restarted);
    fleet.advance(milliseconds(500));
    EXPECT_EQ(other.state.proxy.instances.find("decode-2")->peer_unread_tokens,
              0);
}

peer_load_report report_of(std::string const &sender, std::uint64_t sequence,
                           std::uint32_t tokens)
{
    peer_load_report report;
    report.sender = sender;
    report.data_centre = "zone-0";
    report.incarnation = 1;
    report.sequence = sequence;
    instance_definition engine;
    engine.id = "decode-1";
    report.loads = {{load_key_of(engine), tokens, 1}};
    return report;
}

std::int64_t known_tokens_after(proxy_fixture &daemon,
                                peer_load_report const &report)
{
    daemon.state.in.peer_load_reports.push_back(report);
    daemon.advance(milliseconds(60));
    return daemon.state.proxy.instances.find("decode-1")->peer_unread_tokens;
}

// A daemon that ranks highest but has no usable address cannot collect reports.
TEST(proxy_load, a_row_without_an_address_is_no_hub)
{
    simulated_fleet fleet(30, 3, 3);
    for (auto &daemon : fleet.members)
    {
        for (int i = 0; i < 60; ++i)
        {
            daemon->state.proxy.daemons["odd-" + std::to_string(i)] = {
                daemon->state.now + hours(1), "",
                "zone-" + std::to_string(i % 3)};
        }
    }
    fleet.advance(milliseconds(500));
    add_work(*fleet.members.front(), "decode-2");
    fleet.advance(seconds(1));
    auto const known = known_tokens(fleet, "decode-2");
    EXPECT_EQ(std::ranges::count(known, 5000), 29);
}

/// Removes the row of `name` from the daemons of its data centre only, so that
/// it may remain the hub for itself and for the other data centres.
void depose(simulated_fleet &fleet, std::string const &name,
            std::string const &data_centre)
{
    for (auto &daemon : fleet.members)
    {
        auto const &identity = daemon->state.identity;
        if (identity.data_centre == data_centre && identity.name != name)
        {
            daemon->state.proxy.daemons.erase(name);
        }
    }
}

// While a hub is replaced, both report for their data centre.
TEST(proxy_load, two_hubs_at_once_report_no_work_twice)
{
    for (std::size_t member = 0; member < 12; member += 2)
    {
        simulated_fleet fleet(12, 2, 3);
        fleet.advance(milliseconds(500));
        auto const &identity = fleet.members.at(member)->state.identity;
        add_work(*fleet.members.at(2), "decode-2");
        fleet.advance(milliseconds(500));
        depose(fleet, identity.name, identity.data_centre);
        for (int i = 0; i < 200; ++i)
        {
            fleet.advance(milliseconds(10));
            EXPECT_LE(std::ranges::max(known_tokens(fleet, "decode-2")), 5000)
                << identity.name;
        }
    }
}

TEST(proxy_load, old_and_unknown_reports_are_dropped)
{
    simulated_fleet fleet(2, 1, 3);
    auto &daemon = *fleet.members.back();
    EXPECT_EQ(known_tokens_after(daemon, report_of("edge-0", 8, 600)), 600);
    EXPECT_EQ(known_tokens_after(daemon, report_of("edge-0", 7, 100)), 600);
    EXPECT_EQ(known_tokens_after(daemon, report_of("stranger", 9, 100)), 600);
    EXPECT_EQ(known_tokens_after(daemon, report_of("edge-0", 9, 200)), 200);
}

TEST(proxy_load, damaged_datagrams_are_no_reports)
{
    auto const bytes = encode_peer_load(report_of("edge-0", 8, 600));
    random_source random(1);
    for (int i = 0; i < 20000; ++i)
    {
        auto damaged = bytes.substr(0, random.below(bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
        {
            damaged[random.below(damaged.size())] =
                static_cast<char>(random.below(256));
        }
        auto const report = decode_peer_load(damaged);
        EXPECT_TRUE(!report || report->loads.size() <= bytes.size());
    }
    EXPECT_FALSE(decode_peer_load(""));
}

} // namespace
