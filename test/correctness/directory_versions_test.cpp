// Guards against rows that are applied in an order other than that of their
// versions, so that a live instance is hidden or one that has left is listed.
#include "directory_age.hpp"
#include "proxy_fixture.hpp"
#include "store_view_report.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr std::uint64_t first_version = 100;

instance_definition desk(std::string const &id)
{
    instance_definition out;
    out.id = id;
    out.service = "desk";
    out.address = "10.0.1.1:80";
    out.data_centre = "zone-a";
    out.started_at_ms = 1;
    return out;
}

instance_row listed_row(std::string const &id, std::uint64_t version)
{
    return {id, version, std::make_shared<instance_definition const>(desk(id)),
            false};
}

instance_row removed_row(std::string const &id, std::uint64_t version)
{
    return {id, version, nullptr, false};
}

/// A daemon of a fleet that shares its reads; its directory has `desk-1` and
/// `desk-2` as of `first_version`.
class reading_daemon : public proxy_fixture
{
public:
    reading_daemon()
    {
        for (int i = 1; i <= 12; ++i)
        {
            auto const name = "edge-" + std::to_string(i);
            state.proxy.daemons[name] = {state.now + hours(1), name, "zone-a"};
        }
        answer(true, first_version,
               {listed_row("desk-1", 50), listed_row("desk-2", 51)});
        tick_now();
    }

    /// Supplies an answer of the store for the next tick.
    void answer(bool full, std::uint64_t version,
                std::vector<instance_row> const &rows)
    {
        row_read_reply reply;
        reply.table = polled_table::instances;
        reply.full = full;
        reply.outcome = row_outcome::answered;
        reply.version = version;
        reply.instances = rows;
        state.in.row_read_replies.push_back(reply);
    }

    /// Supplies a report of a neighbour for the next tick.
    void report(std::uint64_t version,
                std::vector<reported_instance> const &changes)
    {
        store_view_report out;
        out.sender = "edge-2";
        out.data_centre = "zone-a";
        out.incarnation = 1;
        out.sequence = ++sequence_;
        out.sent_at = state.now.time_since_epoch();
        out.from_version = first_version;
        out.version = version;
        out.changes = changes;
        state.in.store_view_reports.push_back(
            std::make_shared<store_view_report const>(out));
    }

    bool lists(std::string const &id) const
    {
        return state.proxy.instances.find(id) != nullptr;
    }

private:
    std::uint64_t sequence_ = 0;
};

TEST(directory_versions, a_row_that_was_written_again_in_one_answer_is_listed)
{
    reading_daemon daemon;
    daemon.answer(false, 120,
                  {removed_row("desk-1", 110), listed_row("desk-1", 111)});
    daemon.tick_now();
    EXPECT_TRUE(daemon.lists("desk-1"));
}

TEST(directory_versions, a_row_that_was_removed_after_a_write_is_gone)
{
    reading_daemon daemon;
    daemon.answer(false, 120,
                  {listed_row("desk-3", 110), removed_row("desk-3", 111)});
    daemon.tick_now();
    EXPECT_FALSE(daemon.lists("desk-3"));
}

TEST(directory_versions, an_answer_that_a_report_overtook_lists_nothing_again)
{
    reading_daemon daemon;
    daemon.report(120, {{"desk-1", 115, std::nullopt}});
    daemon.answer(false, 112, {listed_row("desk-1", 111)});
    daemon.tick_now();
    EXPECT_FALSE(daemon.lists("desk-1"));
}

TEST(directory_versions, a_full_read_keeps_what_a_report_listed_later)
{
    reading_daemon daemon;
    daemon.report(120, {{"desk-3", 115, desk("desk-3")}});
    daemon.answer(true, 112,
                  {listed_row("desk-1", 50), listed_row("desk-2", 51)});
    daemon.tick_now();
    EXPECT_TRUE(daemon.lists("desk-3"));
}

TEST(directory_versions, an_old_report_lists_nothing_that_a_full_read_lacked)
{
    reading_daemon daemon;
    daemon.answer(true, 120, {listed_row("desk-2", 51)});
    daemon.tick_now();
    daemon.report(130, {{"desk-1", 110, desk("desk-1")}});
    daemon.tick_now();
    EXPECT_FALSE(daemon.lists("desk-1"));
}

TEST(directory_versions, removals_that_a_report_repeats_are_no_outage)
{
    reading_daemon daemon;
    std::vector<instance_row> rows;
    std::vector<reported_instance> removals;
    for (int i = 1; i <= 12; ++i)
    {
        rows.push_back(listed_row("desk-" + std::to_string(i), 101));
        removals.push_back({rows.back().id, 110, std::nullopt});
    }
    daemon.answer(false, 105, rows);
    daemon.tick_now();
    removals.resize(6);
    daemon.report(110, removals);
    daemon.tick_now();
    daemon.state.now += seconds(3);
    daemon.store_fails();
    removals.push_back({"desk-7", 115, std::nullopt});
    daemon.report(115, removals);
    daemon.tick_now();
    EXPECT_FALSE(daemon.lists("desk-7"));
}

TEST(directory_versions, an_answer_older_than_a_report_does_not_renew_the_view)
{
    reading_daemon daemon;
    daemon.report(120, {});
    daemon.answer(false, 120, {});
    daemon.tick_now();
    auto const known_at = directory_known_at(daemon.state);
    // Long enough for the next read.
    daemon.advance(seconds(3));
    daemon.answer(false, 112, {});
    daemon.tick_now();
    EXPECT_EQ(directory_known_at(daemon.state), known_at);
}

} // namespace
