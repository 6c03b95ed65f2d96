// Guards against role changes that follow a short peak, exceed the hourly
// budget, are made without the lease, or change the last engine of a role.
#include "plan_role_changes.hpp"
#include "policy_world.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

struct planner_fixture
{
    world w;
    std::vector<engine_order> orders;
    bool holds_lease = true;

    explicit planner_fixture(std::vector<engine_role> const &roles)
        : w(make_policy_world(roles))
    {
        w.hooks.order = [this](world &, engine_order const &order)
        {
            orders.push_back(order);
            return true;
        };
        w.hooks.may_plan_for = [this](world const &, std::string const &)
        { return holds_lease; };
    }

    /// Runs with `rate` requests per second of `prompt` tokens each.
    void run(int length_seconds, int rate, int prompt)
    {
        for (int i = 0; i < length_seconds * 10; ++i)
        {
            w.now += milliseconds(100);
            w.in.arrivals.assign(static_cast<std::size_t>(rate / 10),
                                 make_policy_request(w, 1, prompt).arrival);
            plan_role_changes(w);
            w.in = {};
        }
    }
};

std::vector<engine_role> split_fleet()
{
    std::vector<engine_role> roles(10, engine_role::decode);
    roles[0] = engine_role::prefill;
    roles[1] = engine_role::prefill;
    return roles;
}

TEST(role_changes, follow_a_lasting_shift_within_the_budget)
{
    planner_fixture p(split_fleet());
    p.w.config.policy.role_changes_per_hour = 2;
    p.run(120, 10, 3000);
    ASSERT_EQ(p.orders.size(), 2U);
    EXPECT_NE(p.orders.front().role, engine_role::decode);
}

TEST(role_changes, do_not_follow_a_short_peak)
{
    planner_fixture p(split_fleet());
    p.run(60, 10, 200);
    p.run(3, 10, 3000);
    p.run(60, 10, 200);
    EXPECT_TRUE(p.orders.empty());
}

TEST(role_changes, need_the_lease)
{
    planner_fixture p(split_fleet());
    p.holds_lease = false;
    p.run(120, 10, 3000);
    EXPECT_TRUE(p.orders.empty());
}

TEST(role_changes, leave_the_last_engine_of_a_kind)
{
    planner_fixture p({engine_role::prefill, engine_role::decode});
    p.run(120, 10, 3000);
    EXPECT_TRUE(p.orders.empty());
}

TEST(role_changes, a_high_weight_keeps_the_roles)
{
    planner_fixture p(split_fleet());
    p.w.config.policy.role_change_weight = 1e9;
    p.run(120, 10, 3000);
    EXPECT_TRUE(p.orders.empty());
}

} // namespace
