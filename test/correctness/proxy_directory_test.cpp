// Guards against new work for instances that were removed or are draining, and
// against the loss of instances whose rows expired only because the store was
// unavailable.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

std::vector<std::string> engine_ids(int from, int to)
{
    std::vector<std::string> out;
    for (int i = from; i <= to; ++i)
    {
        out.push_back("decode-" + std::to_string(i));
    }
    return out;
}

bool listed(proxy_fixture const &daemon, std::string const &id)
{
    return daemon.state.proxy.instances.find(id) != nullptr;
}

/// @return instances that are called for some requests that may go to any
std::set<std::string> called_instances(proxy_fixture &daemon)
{
    for (int i = 0; i < 20; ++i)
    {
        daemon.send("/look/1");
    }
    std::set<std::string> out;
    for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
    {
        out.insert(call.instance);
        daemon.reply_head(call.attempt, 404);
        daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    }
    daemon.tick_now();
    return out;
}

TEST(proxy_directory, a_removed_row_ends_the_instance_at_once)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    daemon.instances_changed({}, {"decode-2"});
    EXPECT_FALSE(listed(daemon, "decode-2"));
}

// The store failed for this daemon only: rows were renewed meanwhile, so a
// missing one means that the instance was removed.
TEST(proxy_directory, a_row_that_was_removed_while_others_were_renewed_is_gone)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    daemon.store_fails();
    daemon.advance(seconds(3));
    daemon.store_fails();
    daemon.instances_changed(engine_ids(2, 6), {"decode-1"});
    EXPECT_FALSE(listed(daemon, "decode-1"));
    EXPECT_TRUE(listed(daemon, "decode-2"));
}

TEST(proxy_directory, rows_that_lapsed_in_an_outage_are_kept_for_two_seconds)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    // Reads fail until the store returns.
    for (int i = 0; i < 6; ++i)
    {
        daemon.store_fails();
        daemon.advance(milliseconds(500));
    }
    daemon.instances_changed({}, engine_ids(1, 6));
    daemon.advance(milliseconds(1500));
    EXPECT_TRUE(listed(daemon, "decode-1"));
    daemon.instances_changed(engine_ids(1, 3), {});
    daemon.advance(milliseconds(1200));
    EXPECT_TRUE(listed(daemon, "decode-3"));
    EXPECT_FALSE(listed(daemon, "decode-4"));
}

// The grace period starts when the store is reachable again, not when the
// missing rows are first read.
TEST(proxy_directory, a_late_look_does_not_lengthen_the_time_of_lapsed_rows)
{
    proxy_fixture daemon;
    daemon.list_engines(6, engine_role::decode);
    daemon.store_fails();
    daemon.advance(seconds(2));
    daemon.instances_changed({}, {});
    daemon.advance(milliseconds(1500));
    daemon.instances_changed({}, engine_ids(1, 6));
    daemon.advance(milliseconds(900));
    EXPECT_FALSE(listed(daemon, "decode-1"));
}

TEST(proxy_directory, a_leaving_instance_gets_no_new_work)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    instance_definition leaving =
        daemon.state.proxy.instances.find("desk-1")->definition;
    leaving.accepts_work = false;
    daemon.list(leaving);
    for (int i = 0; i < 20; ++i)
    {
        daemon.send("/look/1");
    }
    for (auto const &call : daemon.advance(milliseconds(20)).proxy_calls)
    {
        EXPECT_EQ(call.instance, "desk-2");
    }
}

TEST(proxy_directory, a_later_row_of_the_same_start_does_not_revoke_a_leave)
{
    proxy_fixture daemon;
    daemon.list_endpoints(2);
    auto desk = daemon.state.proxy.instances.find("desk-1")->definition;
    desk.started_at_ms = 1000;
    auto leaving = desk;
    leaving.accepts_work = false;
    daemon.list(leaving);
    daemon.list(desk);
    EXPECT_EQ(called_instances(daemon), std::set<std::string>{"desk-2"});
    daemon.instances_changed({}, {"desk-1"});
    daemon.list(desk);
    EXPECT_EQ(called_instances(daemon), std::set<std::string>{"desk-2"});
    desk.started_at_ms = 2000;
    daemon.list(desk);
    EXPECT_TRUE(called_instances(daemon).contains("desk-1"));
}

TEST(proxy_directory, an_older_configuration_is_never_put_in_force)
{
    proxy_fixture daemon;
    auto newer = *daemon.state.proxy.routing;
    newer.version = 9;
    row_read_reply reply;
    reply.outcome = row_outcome::answered;
    reply.configuration = std::make_shared<routing_configuration const>(newer);
    daemon.state.in.row_read_replies.push_back(reply);
    daemon.tick_now();
    newer.version = 8;
    reply.configuration = std::make_shared<routing_configuration const>(newer);
    daemon.state.in.row_read_replies.push_back(reply);
    daemon.tick_now();
    EXPECT_EQ(daemon.state.proxy.routing->version, 9U);
}

} // namespace
