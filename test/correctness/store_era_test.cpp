// Guards against a daemon that goes on with versions of rows from before the
// store returned from a copy: it would miss all changes until the new versions
// exceed the old ones, lose instances whose rows the copy lacks, or send work
// to instances that the copy shows as ready again.
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "proxy_fixture.hpp"
#include "store_view_state.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

instance_definition engine(std::string const &id, bool accepts_work = true)
{
    instance_definition out;
    out.id = id;
    out.service = "models";
    out.address = "10.0.0." + std::to_string(id.back() - '0') + ":80";
    out.data_centre = "zone-a";
    out.accepts_work = accepts_work;
    out.started_at_ms = 1;
    return out;
}

row_read_reply answer(polled_table table, bool full, std::uint64_t version,
                      std::uint64_t era,
                      std::vector<instance_definition> const &rows = {})
{
    row_read_reply out;
    out.table = table;
    out.full = full;
    out.outcome = row_outcome::answered;
    out.version = version;
    out.store_era = era;
    for (auto const &row : rows)
    {
        out.instances.push_back(
            {row.id, version, std::make_shared<instance_definition const>(row),
             false});
    }
    return out;
}

outbox receive(proxy_fixture &daemon, row_read_reply const &reply)
{
    daemon.state.in.row_read_replies.push_back(reply);
    return daemon.tick_now();
}

/// Answers the first reads of a daemon in era 1, at version 900.
void start_in_era_1(proxy_fixture &daemon,
                    std::vector<instance_definition> const &rows)
{
    daemon.tick_now();
    receive(daemon, answer(polled_table::configuration, true, 900, 1));
    receive(daemon, answer(polled_table::instances, true, 900, 1, rows));
    receive(daemon, answer(polled_table::daemons, true, 900, 1));
    daemon.advance(seconds(2));
}

row_read const *read_of(outbox const &out, polled_table table)
{
    auto const found =
        std::ranges::find(out.row_reads, table, &row_read::table);
    return found == out.row_reads.end() ? nullptr : &*found;
}

TEST(store_era, all_tables_are_read_whole_and_the_own_row_is_written_again)
{
    proxy_fixture daemon;
    start_in_era_1(daemon, {engine("e-1")});
    auto const out =
        receive(daemon, answer(polled_table::configuration, false, 800, 2));
    EXPECT_EQ(daemon.state.proxy.store.era, 2U);
    EXPECT_EQ(out.daemon_row_writes.size(), 1U);
    auto const *configuration = read_of(out, polled_table::configuration);
    ASSERT_NE(configuration, nullptr);
    EXPECT_TRUE(configuration->full);
    // This read was in flight; its reply is of the new store, but contains only
    // changes after a version of the old one.
    auto const next =
        receive(daemon, answer(polled_table::instances, false, 901, 2));
    auto const *instances = read_of(next, polled_table::instances);
    ASSERT_NE(instances, nullptr);
    EXPECT_TRUE(instances->full);
    EXPECT_EQ(instances->after_version, 0U);
}

TEST(store_era, rows_with_reused_versions_are_applied)
{
    proxy_fixture daemon;
    start_in_era_1(daemon, {engine("e-1")});
    receive(daemon, answer(polled_table::instances, false, 850, 2));
    receive(daemon, answer(polled_table::instances, true, 851, 2,
                           {engine("e-1", false)}));
    EXPECT_FALSE(
        daemon.state.proxy.instances.find("e-1")->definition.accepts_work);
}

TEST(store_era, a_late_reply_of_an_older_era_is_not_used)
{
    proxy_fixture daemon;
    start_in_era_1(daemon, {engine("e-1")});
    receive(daemon, answer(polled_table::configuration, false, 800, 2));
    receive(daemon, answer(polled_table::instances, false, 950, 1,
                           {engine("e-1", false)}));
    EXPECT_TRUE(
        daemon.state.proxy.instances.find("e-1")->definition.accepts_work);
}

TEST(store_era, instances_that_the_copy_lacks_are_kept_until_they_can_rewrite)
{
    proxy_fixture daemon;
    std::vector<instance_definition> all;
    for (int i = 1; i <= 6; ++i)
    {
        all.push_back(engine("e-" + std::to_string(i)));
    }
    start_in_era_1(daemon, all);
    all.pop_back();
    receive(daemon, answer(polled_table::instances, false, 850, 2));
    receive(daemon, answer(polled_table::instances, true, 850, 2, all));
    EXPECT_NE(daemon.state.proxy.instances.find("e-6"), nullptr);
    daemon.advance(milliseconds(2300));
    EXPECT_EQ(daemon.state.proxy.instances.find("e-6"), nullptr);
    EXPECT_NE(daemon.state.proxy.instances.find("e-5"), nullptr);
}

TEST(store_era, a_copy_from_before_a_drain_does_not_revoke_it)
{
    proxy_fixture daemon;
    start_in_era_1(daemon, {engine("e-1", false), engine("e-2")});
    receive(daemon, answer(polled_table::instances, false, 850, 2));
    receive(daemon, answer(polled_table::instances, true, 850, 2,
                           {engine("e-1"), engine("e-2")}));
    auto const &instances = daemon.state.proxy.instances;
    EXPECT_FALSE(instances.find("e-1")->definition.accepts_work);
    EXPECT_TRUE(instances.find("e-2")->definition.accepts_work);
}

TEST(store_era, a_higher_era_in_the_reply_to_a_write_counts)
{
    proxy_fixture daemon;
    start_in_era_1(daemon, {engine("e-1")});
    store_view_of(daemon.state).written_era = 2;
    EXPECT_EQ(daemon.tick_now().daemon_row_writes.size(), 1U);
    EXPECT_EQ(daemon.state.proxy.store.era, 2U);
}

TEST(store_era, the_header_is_read_whatever_its_case)
{
    auto const codec = platform::make_codec();
    EXPECT_EQ(codec.decode_store_era({{"store-era", "17"}}), 17U);
    EXPECT_EQ(codec.decode_store_era({{"Store-Era", "x"}}), 0U);
    EXPECT_EQ(codec.decode_store_era({{"Content-Length", "3"}}), 0U);
}

} // namespace
