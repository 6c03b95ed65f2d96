// Guards against one client account, or one client that retries at once, that
// takes the capacity of a service away from the callers of other accounts, and
// against limits while nothing waits.
#include "account_directory.hpp"
#include "account_shares.hpp"
#include "account_state.hpp"
#include "engine_simulator.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr double unlimited = std::numeric_limits<double>::infinity();

TEST(fair_level, is_unlimited_while_all_that_is_requested_is_done)
{
    EXPECT_EQ(fair_level({}), unlimited);
    EXPECT_EQ(fair_level({{900, 900, 1}, {1, 1.1, 1}}), unlimited);
}

TEST(fair_level, divides_the_work_among_the_accounts_that_request_more)
{
    EXPECT_DOUBLE_EQ(fair_level({{80, 200, 1}, {20, 50, 1}}), 50);
    // An idle account's share goes to the others.
    EXPECT_DOUBLE_EQ(fair_level({{90, 200, 1}, {10, 10, 1}}), 90);
    EXPECT_DOUBLE_EQ(fair_level({{60, 300, 1}, {40, 40, 40}}), 60);
    EXPECT_DOUBLE_EQ(fair_level({{0, 10, 1}, {0, 5, 1}}), 0);
}

TEST(fair_level, only_an_excess_over_the_level_is_refused)
{
    EXPECT_EQ(admitted_share(50, 50, 1), 1);
    EXPECT_EQ(admitted_share(500, unlimited, 1), 1);
    EXPECT_EQ(admitted_share(200, 50, 0), 1);
    EXPECT_DOUBLE_EQ(admitted_share(200, 50, 1), 0.25);
    EXPECT_LT(share_retry_after(60, 50, 0), share_retry_after(200, 50, 0));
    EXPECT_LT(share_retry_after(200, 50, 0), share_retry_after(200, 50, 1));
    EXPECT_LE(share_retry_after(1e9, 0, 1e9), seconds(8));
}

TEST(fair_order, is_by_priority_then_time_then_work_of_the_account)
{
    auto const number = [](unsigned value) { return request_number(value); };
    std::vector<request_number> const expected{number(5), number(4), number(1),
                                               number(2), number(3), number(6)};
    EXPECT_EQ(fair_order({{number(1), 7, 1, true, 10, 100},
                          {number(2), 7, 1, true, 10, 100},
                          {number(3), 7, 1, true, 10, 100},
                          {number(4), 8, 1, true, 10, 20},
                          {number(5), 7, 0, false, 10, 100},
                          {number(6), 8, 1, false, 10, 20}}),
              expected);
}

constexpr int small_accounts = 80;
/// Short prompts that the engines of these tests can prefill in a second.
constexpr int prompts_per_s = 900;
constexpr int prompt_tokens = 350;

/// Bounds the cost of the test: 5,000 retries a second.
constexpr double max_retries_per_step = 10;

class account_shares : public testing::Test
{
protected:
    account_shares()
    {
        std::vector<account_definition> definitions{{{"big", {}}, {"big"}}};
        for (int i = 0; i < small_accounts; ++i)
        {
            auto const name = "small-" + std::to_string(i);
            definitions.push_back({{name, {}}, {name}});
        }
        auto routing = *daemon.state.proxy.routing;
        routing.version = 2;
        routing.accounts =
            std::make_shared<account_directory const>(definitions);
        for (auto &route : routing.routes)
        {
            route.target_latency = milliseconds(250);
            route.max_event_gap = milliseconds(150);
        }
        routing.services.front().tokens_per_event = 7;
        daemon.state.proxy.set_routing(
            std::make_shared<routing_configuration const>(routing));
        daemon.list_engines(8, engine_role::decode);
        daemon.list_engines(4, engine_role::prefill);
        daemon.tick_now();
    }

    void send(std::string const &account, std::string const &path)
    {
        daemon.credential = "Bearer " + account;
        engines.send(path, prompt_tokens);
    }

    /// All small accounts together request half of the capacity.
    ///
    /// @param phase end of the paths, `/once/small-<phase>` and
    ///        `/once/big-<phase>`
    /// @param big_per_s rate of the large account
    /// @param retries each of its refused requests comes again at once
    void play(std::string const &phase, duration time, double big_per_s,
              bool retries = false)
    {
        auto const big = "/once/big-" + phase;
        auto const small = "/once/small-" + phase;
        auto big_due = 0.0;
        auto small_due = 0.0;
        auto refused =
            daemon.state.proxy.accounts->counters["big"].refused_shares;
        for (duration done{}; done < time; done += milliseconds(2))
        {
            for (small_due += prompts_per_s * 0.5 * 0.002; small_due >= 1;
                 small_due -= 1)
            {
                next_small_ = (next_small_ + 1) % small_accounts;
                send("small-" + std::to_string(next_small_), small);
            }
            for (big_due += big_per_s * 0.002; big_due >= 1; big_due -= 1)
            {
                send("big", big);
            }
            engines.advance(milliseconds(2));
            auto const now_refused =
                daemon.state.proxy.accounts->counters["big"].refused_shares;
            big_due += retries ? std::min<double>(
                                     static_cast<double>(now_refused - refused),
                                     max_retries_per_step)
                               : 0;
            refused = now_refused;
        }
    }

    /// @return share of the requests to `path` that were answered in time
    double in_time(std::string const &path) const
    {
        auto const seen = engines.outcomes(path);
        auto const total =
            seen.in_time + seen.late + seen.refused + seen.unserved;
        return static_cast<double>(seen.in_time) / total;
    }

    proxy_fixture daemon;
    engine_simulator engines{daemon};

private:
    int next_small_ = 0;
};

TEST_F(account_shares, nothing_is_refused_while_nothing_waits)
{
    play("calm", seconds(3), prompts_per_s * 0.25);
    engines.advance(seconds(4));
    EXPECT_GT(in_time("/once/big-calm"), 0.98);
    EXPECT_EQ(engines.outcomes("/once/big-calm").refused, 0);
}

// Without shares, 74% of the requests of the other accounts are in time during
// the burst.
TEST_F(account_shares, a_burst_of_one_account_leaves_the_others_in_time)
{
    play("before", seconds(3), 100);
    play("during", seconds(4), 2 * prompts_per_s);
    play("after", seconds(4), 100);
    engines.advance(seconds(4));
    EXPECT_GT(in_time("/once/small-before"), 0.98);
    EXPECT_GT(in_time("/once/small-during"), 0.85);
    EXPECT_GT(in_time("/once/small-after"), 0.95);
}

TEST_F(account_shares, immediate_retries_do_not_take_the_shares_of_others)
{
    play("during", seconds(3), prompts_per_s, true);
    play("after", seconds(4), 0);
    engines.advance(seconds(4));
    EXPECT_GT(in_time("/once/small-during"), 0.8);
    EXPECT_GT(in_time("/once/small-after"), 0.95);
}

} // namespace
