// Guards against orders that leave a service with too few engines, and against
// engines that are paid for without need.
#include "plan_capacity.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr double prefill_speed = 48000;
constexpr double decode_speed = 24000;

/// Load at which the usual role mix needs about `engines` engines with a burst.
service_load load_for(double engines)
{
    service_load out;
    out.mean_tokens_per_s =
        engines * 0.8 / 1.9 * (0.35 * prefill_speed + 0.65 * decode_speed);
    out.peak_tokens_per_s = out.mean_tokens_per_s;
    return out;
}

role_counts usual_mix(int engines)
{
    auto const prefill = (engines * 35 + 50) / 100;
    return {prefill, engines - prefill, 0};
}

/// 30 ordinary engines in each of three data centres, as customer A has them.
capacity_view customer_a()
{
    capacity_view out;
    out.now = instant(seconds(1000));
    out.service = "models";
    out.limits.min_instances = 1;
    out.limits.max_instances = 60;
    out.limits.boot_time = seconds(4);
    out.limits.reclaimable_price = 0.22;
    out.limits.prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}};
    out.slots = 16;
    out.speeds = {prefill_speed, decode_speed, prefill_speed};
    out.held_total = 90;
    for (auto const *name : {"a", "b", "c"})
    {
        for (bool const reclaimable : {false, true})
        {
            capacity_group group;
            group.data_centre = name;
            group.reclaimable = reclaimable;
            group.serving = usual_mix(reclaimable ? 0 : 30);
            group.held = reclaimable ? 0 : 30;
            out.groups.push_back(group);
        }
    }
    return out;
}

/// @return engines that serve after a reclaim in a data centre
int left_after_reclaim(capacity_view const &view, std::string const &name)
{
    int out = 0;
    for (auto const &group : view.groups)
    {
        bool const lost = group.reclaimable && group.data_centre == name;
        out += lost ? 0 : group.serving.total();
    }
    return out;
}

int serving_total(capacity_view const &view)
{
    return left_after_reclaim(view, "");
}

capacity_group &group_of(capacity_view &view, std::string const &name,
                         bool reclaimable)
{
    return *std::find_if(view.groups.begin(), view.groups.end(),
                         [&](capacity_group const &group) {
                             return group.data_centre == name &&
                                    group.reclaimable == reclaimable;
                         });
}

/// Carries out the orders of one second at once.
std::vector<planned_order> step(capacity_view &view)
{
    view.now += seconds(1);
    auto const plan = plan_capacity(view);
    view.needed_before = plan.needed;
    for (auto const &item : plan.orders)
    {
        auto &group =
            group_of(view, item.order.data_centre, item.order.reclaimable);
        bool const is_lower = item.order.instances < item.before;
        (is_lower ? group.lowered_at : group.raised_at) = view.now;
        group.ordered = item.order.instances;
        group.ordered_at = view.now;
        group.serving = usual_mix(item.order.instances);
    }
    return plan.orders;
}

void run(capacity_view &view, int steps)
{
    for (int i = 0; i < steps; ++i)
    {
        step(view);
    }
}

double price_per_s(capacity_view const &view)
{
    double out = 0;
    for (auto const &group : view.groups)
    {
        out += view.limits.prices.at(group.data_centre) *
               (group.reclaimable ? 0.22 : 1) * group.serving.total();
    }
    return out;
}

TEST(plan_capacity, keeps_the_total_while_the_load_is_unknown)
{
    auto view = customer_a();
    for (int i = 0; i < 30; ++i)
    {
        step(view);
        ASSERT_GE(serving_total(view), 90) << "step " << i;
    }
    for (auto const *name : {"a", "b", "c"})
    {
        // As much as the loss of a data centre with its 30 engines leaves.
        EXPECT_GE(left_after_reclaim(view, name), 60);
    }
    EXPECT_EQ(serving_total(view), 90);
    EXPECT_LT(price_per_s(view), 0.5 * 91.5);
    auto &group = group_of(view, "b", true);
    group.serving = usual_mix(10);
    group.ordered_at = view.now - seconds(30);
    step(view);
    EXPECT_GE(serving_total(view), 90);
}

TEST(plan_capacity, orders_no_ordinary_engines_beyond_the_configured_total)
{
    auto view = customer_a();
    view.configured_total = 90;
    view.load = load_for(150);
    for (auto &group : view.groups)
    {
        group.unavailable_until =
            group.reclaimable ? view.now + seconds(60) : instant{};
        group.refusals = group.reclaimable ? 3 : 0;
    }
    run(view, 20);
    EXPECT_EQ(serving_total(view), 90);
}

TEST(plan_capacity, removes_nothing_for_engines_that_do_not_come)
{
    auto view = customer_a();
    for (int i = 0; i < 5; ++i)
    {
        view.now += seconds(1);
        for (auto const &item : plan_capacity(view).orders)
        {
            EXPECT_TRUE(item.order.reclaimable);
            auto &group = group_of(view, item.order.data_centre, true);
            group.ordered = item.order.instances;
            group.ordered_at = view.now;
        }
    }
}

TEST(plan_capacity, orders_ordinary_engines_for_unavailable_reclaimable_ones)
{
    auto view = customer_a();
    auto &group = group_of(view, "a", true);
    group.ordered = 20;
    group.held = 20;
    view.held_total = 110;
    group.unavailable_until = view.now + seconds(8);
    auto const orders = step(view);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_FALSE(orders[0].order.reclaimable);
    EXPECT_EQ(orders[0].order.instances, 50);
    // The same shortage is not ordered twice.
    for (auto const &item : step(view))
    {
        EXPECT_TRUE(item.order.reclaimable);
    }
}

TEST(plan_capacity, replaces_ordinary_engines_under_a_steady_load)
{
    auto view = customer_a();
    view.load = load_for(50);
    for (auto const &item : step(view))
    {
        EXPECT_TRUE(item.order.reclaimable);
        EXPECT_GT(item.order.instances, item.before);
    }
    EXPECT_GT(serving_total(view), 90);
    for (int i = 0; i < 60; ++i)
    {
        for (auto const *name : {"a", "b", "c"})
        {
            // A reclaim after any step leaves 50 engines.
            ASSERT_GE(left_after_reclaim(view, name), 50);
        }
        step(view);
    }
    // 50 ordinary engines would cost 50.
    EXPECT_LT(price_per_s(view), 30);
    auto const settled = serving_total(view);
    run(view, 20);
    EXPECT_EQ(serving_total(view), settled);
}

TEST(plan_capacity, removes_no_ordinary_engine_until_the_new_ones_serve)
{
    auto view = customer_a();
    view.load = load_for(50);
    auto const orders = step(view);
    ASSERT_FALSE(orders.empty());
    for (auto &group : view.groups)
    {
        group.serving = group.reclaimable ? role_counts{} : group.serving;
    }
    for (int i = 0; i < 30; ++i)
    {
        view.now += seconds(1);
        for (auto const &item : plan_capacity(view).orders)
        {
            ASSERT_GE(item.order.instances, item.before);
        }
    }
    // They serve.
    for (auto const &item : orders)
    {
        group_of(view, item.order.data_centre, true).serving =
            usual_mix(item.order.instances);
    }
    auto const later = plan_capacity(view).orders;
    ASSERT_EQ(later.size(), 1U);
    EXPECT_LT(later.front().order.instances, later.front().before);
}

TEST(plan_capacity, raises_at_once_in_a_burst)
{
    auto view = customer_a();
    view.load = load_for(50);
    run(view, 60);
    auto const before = serving_total(view);
    view.load = load_for(50);
    view.load->peak_tokens_per_s = view.load->mean_tokens_per_s * 1.9;
    EXPECT_TRUE(step(view).empty()) << "the headroom is for such a burst";
    view.load = load_for(80);
    step(view);
    EXPECT_GT(serving_total(view), before);
}

TEST(plan_capacity, orders_no_engine_where_none_are_available)
{
    auto view = customer_a();
    view.load = load_for(50);
    run(view, 60);
    // All reclaimable engines of two data centres are gone, and none are to be
    // had.
    for (auto const *name : {"a", "b"})
    {
        auto &group = group_of(view, name, true);
        group.serving = {};
        group.ordered_at = view.now - minutes(1);
        group.unavailable_until = view.now + seconds(8);
    }
    auto const orders = step(view);
    ASSERT_FALSE(orders.empty());
    for (auto const &item : orders)
    {
        EXPECT_FALSE(item.order.reclaimable && item.order.data_centre != "c");
        EXPECT_GT(item.order.instances, item.before);
    }
    EXPECT_GE(serving_total(view), 50);
    view.now += seconds(10);
    auto const later = step(view);
    EXPECT_TRUE(std::any_of(later.begin(), later.end(),
                            [](planned_order const &item)
                            { return item.order.reclaimable; }));
}

TEST(plan_capacity, survives_the_loss_of_a_data_centre)
{
    for (auto const *lost : {"a", "b", "c"})
    {
        auto view = customer_a();
        view.load = load_for(60);
        run(view, 60);
        group_of(view, lost, false).serving = {};
        group_of(view, lost, true).serving = {};
        // The mean load, without a burst.
        EXPECT_GE(serving_total(view), 60 / 1.9) << lost;
        for (auto const &item : plan_capacity(view).orders)
        {
            EXPECT_GT(item.order.instances, item.before);
        }
    }
}

TEST(plan_capacity, keeps_both_roles)
{
    auto view = customer_a();
    view.load = load_for(20);
    // New engines all start in decode role, and the platform removes prefill
    // engines first.
    for (int i = 0; i < 120; ++i)
    {
        view.now += seconds(1);
        for (auto const &item : plan_capacity(view).orders)
        {
            auto &group =
                group_of(view, item.order.data_centre, item.order.reclaimable);
            auto change = item.order.instances - group.serving.total();
            group.serving.decode += std::max(change, 0);
            auto const taken =
                std::min(std::max(-change, 0), group.serving.prefill);
            group.serving.prefill -= taken;
            group.serving.decode -= std::max(-change, 0) - taken;
            group.ordered = item.order.instances;
            (change < 0 ? group.lowered_at : group.raised_at) = view.now;
        }
        role_counts all;
        for (auto const &group : view.groups)
        {
            all.prefill += group.serving.prefill;
            all.decode += group.serving.decode;
        }
        ASSERT_GE(all.prefill, 1);
        ASSERT_GE(all.decode, 1);
    }
}

TEST(plan_capacity, sends_no_opposite_orders_in_a_short_time)
{
    auto view = customer_a();
    std::map<std::string, instant> lowered;
    for (int i = 0; i < 120; ++i)
    {
        // The load alternates every three seconds.
        view.load = load_for(i / 3 % 2 == 0 ? 40 : 70);
        for (auto const &item : step(view))
        {
            auto const name =
                item.order.data_centre + (item.order.reclaimable ? "+" : "-");
            if (item.order.instances < item.before)
            {
                lowered[name] = view.now;
                continue;
            }
            ASSERT_GE(view.now - lowered[name], seconds(5));
        }
    }
}

TEST(plan_capacity, removes_nothing_while_callers_are_refused)
{
    auto view = customer_a();
    view.configured_total = 90;
    view.load = load_for(50);
    view.load->failing_share = 0.03;
    run(view, 20);
    EXPECT_GE(serving_total(view), 90);
}

TEST(plan_capacity, orders_more_when_the_speed_is_overestimated)
{
    auto view = customer_a();
    // 52% of the speed that the engines are thought to have.
    view.load = load_for(111);
    ASSERT_LT(plan_capacity(view).needed, 90 * 5 / 4);
    view.load->failing_share = 0.33;
    EXPECT_GE(plan_capacity(view).needed, 90 * 5 / 4);
}

} // namespace
