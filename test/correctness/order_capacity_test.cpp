// Guards against orders that are sent without authority or before they are
// written, and against orders that are lost with a reply or a holder.
#include "order_capacity.hpp"

#include "capacity_row.hpp"
#include "capacity_state.hpp"
#include "directory_codec.hpp"
#include "row_transaction.hpp"
#include "store_view_state.hpp"
#include "usage_snapshot.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace
{

using namespace agateledge;

/// One daemon with 30 engines in each of two data centres; tests answer its
/// calls.
class capacity_daemon
{
public:
    capacity_daemon()
        : state({"edge-1", incarnation_number(1), "a", "127.0.0.1:1"}, 1)
    {
        state.now = instant(seconds(1000));
        state.proxy.limits.duties.orders_capacity = true;
        routing_configuration routing;
        routing.version = 1;
        service_profile models;
        models.name = "models";
        models.slots = 16;
        models.capacity.emplace();
        models.capacity->min_instances = 1;
        models.capacity->max_instances = 60;
        models.capacity->boot_time = seconds(4);
        models.capacity->reclaimable_price = 0.22;
        models.capacity->prices = {{"a", 1.0}, {"b", 0.8}};
        routing.services = {models};
        state.proxy.set_routing(
            std::make_shared<routing_configuration const>(routing));
        state.proxy.daemons["edge-1"] = {};
        state.proxy.daemons["edge-2"] = {};
        add_engines("a", 30, false);
        add_engines("b", 30, false);
    }

    /// Adds engines to the directory, a third of them in prefill role.
    void add_engines(std::string const &data_centre, int count,
                     bool reclaimable)
    {
        for (int i = 0; i < count; ++i)
        {
            instance_definition engine;
            engine.id =
                data_centre + (reclaimable ? "+" : "-") + std::to_string(i);
            engine.service = "models";
            engine.data_centre = data_centre;
            engine.reclaimable = reclaimable;
            engine.role =
                i % 3 == 0 ? engine_role::prefill : engine_role::decode;
            state.proxy.instances.put(engine, 1);
        }
    }

    /// Runs one pass after 500 ms, in which each daemon sends a snapshot unless
    /// `tokens_per_s` is negative.
    void run(double tokens_per_s)
    {
        state.now += milliseconds(500);
        store_view_of(state).known_at.at(
            static_cast<std::size_t>(polled_table::instances)) = state.now;
        tokens_ += static_cast<std::uint64_t>(std::max(tokens_per_s, 0.0) / 4);
        ++sequence_;
        for (auto const *sender : {"edge-1", "edge-2"})
        {
            usage_snapshot snapshot;
            snapshot.sender = sender;
            snapshot.incarnation = 1;
            snapshot.sequence = sequence_;
            snapshot.services = {{"models", sequence_ * 10, tokens_, 0, 0}};
            if (tokens_per_s >= 0)
            {
                state.in.usage_snapshots.push_back(
                    std::make_shared<usage_snapshot const>(snapshot));
            }
        }
        if (authority)
        {
            authority->valid_until = state.now + seconds(2);
        }
        order_capacity(state, authority);
        state.in = {};
        sent = std::exchange(state.out, {});
    }

    /// Answers the store's transactions of the last pass.
    void store_answers(row_transaction_outcome outcome)
    {
        for (auto const &transaction : sent.row_transactions)
        {
            row_transaction_reply reply;
            reply.operation = transaction->operation;
            reply.owner = transaction->owner;
            reply.outcome = outcome;
            if (outcome == row_transaction_outcome::committed)
            {
                row_version += transaction->puts.empty() ? 0 : 1;
                row_text = transaction->puts.empty()
                               ? row_text
                               : transaction->puts.front().value;
                reply.version = row_version;
                reply.rows = {{"lease/capacity", "{}", 99},
                              {"capacity", row_text, row_version}};
                reply.store_era = era;
            }
            state.in.row_transaction_replies.push_back(
                std::make_shared<row_transaction_reply const>(reply));
        }
    }

    void platform_answers(platform_outcome outcome)
    {
        for (auto const &call : sent.platform_calls)
        {
            platform_reply const reply{call->operation, outcome, 0};
            state.in.platform_replies.push_back(
                std::make_shared<platform_reply const>(reply));
        }
    }

    /// Runs until calls to the platform are sent; the store commits.
    std::vector<capacity_order> next_orders(double tokens_per_s)
    {
        for (int i = 0; i < 60; ++i)
        {
            store_answers(row_transaction_outcome::committed);
            run(tokens_per_s);
            if (!sent.platform_calls.empty())
            {
                return orders();
            }
        }
        return {};
    }

    std::vector<capacity_order> orders() const
    {
        std::vector<capacity_order> out;
        std::transform(sent.platform_calls.begin(), sent.platform_calls.end(),
                       std::back_inserter(out),
                       [](auto const &call)
                       { return std::get<capacity_order>(call->body); });
        return out;
    }

    world state;
    std::optional<duty_authority> authority = duty_authority{7, {}};
    outbox sent;
    std::string row_text;
    std::uint64_t row_version = 0;
    std::uint64_t era = 1;

private:
    std::uint64_t tokens_ = 0;
    std::uint64_t sequence_ = 0;
};

/// Load for which about half of the engines suffice.
constexpr double light_load = 400'000;

TEST(order_capacity, reads_the_limits_from_the_configuration)
{
    auto const config = platform::decode_configuration(
        R"({"version":1,"services":[{"name":"m","engine":{"slots":12},)"
        R"("scaling":{"min":1,"max":60,"boot_s":4,"spot_price":0.22,)"
        R"("zone_prices":{"a":1.0,"b":0.8}}},{"name":"n"}]})");
    ASSERT_TRUE(config.ok());
    auto const &first = config->services.front();
    EXPECT_EQ(first.slots, 12);
    ASSERT_TRUE(first.capacity);
    capacity_limits const expected{
        1, 60, seconds(4), 0.22, {{"a", 1.0}, {"b", 0.8}}};
    EXPECT_EQ(*first.capacity, expected);
    EXPECT_FALSE(config->services.back().capacity);
}

TEST(order_capacity, does_nothing_without_authority)
{
    capacity_daemon daemon;
    daemon.authority.reset();
    EXPECT_TRUE(daemon.next_orders(light_load).empty());
    EXPECT_TRUE(daemon.sent.row_transactions.empty());
}

TEST(order_capacity, writes_orders_before_it_sends_them)
{
    capacity_daemon daemon;
    auto const orders = daemon.next_orders(light_load);
    ASSERT_FALSE(orders.empty());
    auto const row = capacity_row_from_text(daemon.row_text);
    ASSERT_TRUE(row);
    for (auto const &order : orders)
    {
        EXPECT_EQ(std::count(row->orders.begin(), row->orders.end(), order), 1);
    }
    auto const &call = *daemon.sent.platform_calls.front();
    EXPECT_EQ(call.fencing, 7U);
    EXPECT_EQ(call.holder, "edge-1");
    EXPECT_EQ(call.not_after, daemon.authority->valid_until);
}

TEST(order_capacity, sends_no_order_that_was_not_written)
{
    for (auto const outcome :
         {row_transaction_outcome::refused, row_transaction_outcome::unknown,
          row_transaction_outcome::conflict})
    {
        capacity_daemon daemon;
        bool any_write = false;
        for (int i = 0; i < 60; ++i)
        {
            bool const is_write =
                !daemon.sent.row_transactions.empty() &&
                !daemon.sent.row_transactions.front()->puts.empty();
            any_write = any_write || is_write;
            daemon.store_answers(is_write ? outcome
                                          : row_transaction_outcome::committed);
            daemon.run(light_load);
            ASSERT_TRUE(daemon.sent.platform_calls.empty());
        }
        EXPECT_TRUE(any_write);
    }
}

TEST(order_capacity, trusts_no_commit_of_a_newer_era)
{
    capacity_daemon daemon;
    for (int i = 0; i < 60 && daemon.row_version == 0; ++i)
    {
        bool const is_write =
            !daemon.sent.row_transactions.empty() &&
            !daemon.sent.row_transactions.front()->puts.empty();
        daemon.era += is_write ? 1 : 0;
        daemon.store_answers(row_transaction_outcome::committed);
        daemon.run(light_load);
    }
    ASSERT_EQ(daemon.row_version, 1U);
    EXPECT_TRUE(daemon.sent.platform_calls.empty());
    EXPECT_FALSE(daemon.next_orders(light_load).empty());
}

TEST(order_capacity, plans_a_removal_anew_that_was_not_sent)
{
    capacity_daemon daemon;
    // The load is known when the daemon takes the duty over.
    auto const authority = std::exchange(daemon.authority, std::nullopt);
    for (int i = 0; i < 20; ++i)
    {
        daemon.run(light_load);
    }
    daemon.authority = authority;
    std::vector<capacity_order> orders;
    bool any_removal = false;
    for (int i = 0; i < 80 && !any_removal; ++i)
    {
        daemon.platform_answers(platform_outcome::accepted);
        orders = daemon.next_orders(light_load);
        any_removal =
            std::any_of(orders.begin(), orders.end(),
                        [](capacity_order const &order)
                        { return !order.reclaimable && order.instances < 30; });
        // The reclaimable engines serve.
        for (auto const &order : orders)
        {
            daemon.add_engines(order.data_centre,
                               order.reclaimable ? order.instances : 0, true);
        }
    }
    ASSERT_TRUE(any_removal);
    daemon.platform_answers(platform_outcome::not_sent);
    // The load is too high for a removal when the platform is reachable again.
    for (auto const &order : daemon.next_orders(light_load * 4))
    {
        EXPECT_TRUE(order.reclaimable || order.instances >= 30);
    }
}

TEST(order_capacity, repeats_an_order_whose_reply_is_lost)
{
    for (bool const reported : {true, false})
    {
        capacity_daemon daemon;
        auto const first = daemon.next_orders(light_load);
        ASSERT_FALSE(first.empty());
        if (reported)
        {
            daemon.platform_answers(platform_outcome::unknown);
        }
        // Engines elsewhere may be removed at the same time.
        auto const again = daemon.next_orders(light_load);
        for (auto const &order : first)
        {
            EXPECT_EQ(std::count(again.begin(), again.end(), order), 1);
        }
    }
}

TEST(order_capacity, pauses_where_no_engines_are_available)
{
    capacity_daemon daemon;
    auto const first = daemon.next_orders(light_load);
    ASSERT_EQ(first.size(), 2U);
    auto const refused_at = daemon.state.now;
    daemon.platform_answers(platform_outcome::unavailable);
    for (auto const &order : daemon.next_orders(light_load))
    {
        // Reclaimable engines of both data centres were refused.
        EXPECT_TRUE(!order.reclaimable ||
                    daemon.state.now - refused_at >= seconds(8));
    }
}

TEST(order_capacity, removes_no_engine_until_its_replacement_serves)
{
    capacity_daemon daemon;
    // No snapshots, and snapshots without requests, before the callers come.
    for (auto const load : {-1, 0})
    {
        for (auto const &order : daemon.next_orders(load))
        {
            EXPECT_TRUE(order.reclaimable);
        }
        daemon.platform_answers(platform_outcome::accepted);
    }
}

TEST(order_capacity, a_successor_sends_what_its_predecessor_wrote)
{
    capacity_daemon first;
    auto const orders = first.next_orders(light_load);
    ASSERT_FALSE(orders.empty());
    capacity_daemon second;
    second.row_text = first.row_text;
    second.row_version = first.row_version;
    second.authority->fencing = 8;
    // The predecessor's calls may not have been sent. The successor does not
    // know the load yet.
    auto again = second.next_orders(-1);
    std::sort(again.begin(), again.end());
    auto expected = orders;
    std::sort(expected.begin(), expected.end());
    EXPECT_EQ(again, expected);
    EXPECT_EQ(second.sent.platform_calls.front()->fencing, 8U);
}

TEST(order_capacity, a_successor_removes_nothing_by_an_old_row)
{
    capacity_daemon daemon;
    capacity_row row;
    row.orders = {{"models", "a", 10, false}};
    row.held = {{"models", 40}};
    daemon.row_text = capacity_row_to_text(row);
    daemon.row_version = 3;
    for (auto const &order : daemon.next_orders(-1))
    {
        EXPECT_TRUE(order.reclaimable);
    }
}

TEST(order_capacity, orders_lost_engines_again_while_the_load_is_unknown)
{
    capacity_daemon daemon;
    daemon.next_orders(-1);
    daemon.platform_answers(platform_outcome::accepted);
    for (auto const *engine : {"a-0", "a-1", "a-2", "a-3"})
    {
        daemon.state.proxy.instances.erase(engine);
    }
    auto const orders = daemon.next_orders(-1);
    EXPECT_EQ(std::count(orders.begin(), orders.end(),
                         capacity_order{"models", "a", 30, false}),
              1);
}

} // namespace
