// Guards against a load that is computed too low or too high from snapshots
// that are lost, late, or of a restarted daemon.
#include "activity_table.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

usage_snapshot snapshot_of(std::string const &sender, std::uint64_t incarnation,
                           std::uint64_t sequence, std::uint64_t tokens)
{
    usage_snapshot out;
    out.sender = sender;
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.services = {{"models", 0, tokens, 0, 0}};
    return out;
}

TEST(activity_table, survives_lost_late_and_repeated_snapshots)
{
    activity_table table;
    instant const start(seconds(100));
    table.record(snapshot_of("d", 1, 1, 1000), start);
    EXPECT_EQ(table.heard(start, seconds(3)), 0U);
    table.record(snapshot_of("d", 1, 4, 3000), start + seconds(2));
    EXPECT_EQ(table.heard(start + seconds(2), seconds(3)), 1U);
    EXPECT_DOUBLE_EQ(table.total("models", 1).unread_tokens, 1000);
    table.record(snapshot_of("d", 1, 4, 3000), start + seconds(3));
    table.record(snapshot_of("d", 1, 2, 2000), start + seconds(3));
    EXPECT_DOUBLE_EQ(table.total("models", 1).unread_tokens, 1000);
    EXPECT_EQ(table.heard(start + seconds(6), seconds(3)), 0U);
    // A daemon that was not heard is taken to be like the others.
    EXPECT_DOUBLE_EQ(table.total("models", 2).unread_tokens, 2000);
}

TEST(activity_table, takes_no_rate_across_a_restart)
{
    activity_table table;
    instant const start(seconds(100));
    table.record(snapshot_of("d", 1, 1, 1'000'000), start);
    table.record(snapshot_of("d", 2, 1, 2'000'000), start + seconds(1));
    EXPECT_DOUBLE_EQ(table.total("models", 1).unread_tokens, 0);
    table.record(snapshot_of("d", 2, 2, 2'000'500), start + seconds(2));
    EXPECT_DOUBLE_EQ(table.total("models", 1).unread_tokens, 500);
}

} // namespace
