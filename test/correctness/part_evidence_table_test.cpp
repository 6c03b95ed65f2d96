// Guards against a prompt part that keeps crashing engines because no one
// counts its crashes, and against sound parts that are held back because they
// ran beside it or were lost by another cause.
#include "part_evidence_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>

namespace
{

using namespace agateledge;

constexpr std::uint64_t part = 7;
constexpr std::uint64_t popular_part = 8;
constexpr instant start{seconds(1000)};

void record_three_losses(part_evidence_table &table)
{
    for (std::uint64_t engine = 1; engine <= 3; ++engine)
    {
        table.record_loss({part, engine, 100 + engine},
                          start + seconds(engine));
    }
}

TEST(part_evidence_table, a_part_that_crashes_engine_after_engine_is_suspected)
{
    part_evidence_table table;
    table.record_loss({part, 1, 101}, start);
    table.record_loss({part, 2, 101}, start + seconds(1));
    EXPECT_FALSE(table.suspected_until(part, start + seconds(1)));
    table.record_loss({part, 3, 102}, start + seconds(2));
    EXPECT_TRUE(table.suspected_until(part, start + seconds(2)));
}

TEST(part_evidence_table, parts_that_ran_beside_it_on_one_engine_stay_in_use)
{
    part_evidence_table table;
    for (std::uint64_t prompt = 1; prompt <= 50; ++prompt)
    {
        table.record_loss({part, 1, prompt}, start + seconds(prompt));
    }
    EXPECT_FALSE(table.suspected_until(part, start + seconds(50)));
}

TEST(part_evidence_table, one_prompt_alone_does_not_condemn_its_parts)
{
    part_evidence_table table;
    for (std::uint64_t engine = 1; engine <= 10; ++engine)
    {
        table.record_loss({part, engine, 101}, start + seconds(engine));
    }
    EXPECT_FALSE(table.suspected_until(part, start + seconds(10)));
    EXPECT_TRUE(table.held_until(part, 101, start + seconds(10)));
    EXPECT_FALSE(table.held_until(part, 102, start + seconds(10)));
}

TEST(part_evidence_table, a_popular_part_that_is_answered_between_stays_in_use)
{
    part_evidence_table table;
    for (std::uint64_t i = 1; i <= 40; ++i)
    {
        auto const now = start + seconds(i);
        table.record_loss({popular_part, i, 100 + i}, now);
        table.record_loss({part, i, 100 + i}, now);
        EXPECT_FALSE(table.suspected_until(popular_part, now)) << i;
        EXPECT_EQ(table.suspected_until(part, now).has_value(), i >= 3);
        table.record_success(popular_part, now + milliseconds(500));
    }
}

TEST(part_evidence_table, engines_that_crash_together_suspect_no_part)
{
    part_evidence_table table;
    for (std::uint64_t engine = 1; engine <= 30; ++engine)
    {
        table.record_loss({part, engine, 100 + engine},
                          start + milliseconds(3 * engine));
    }
    EXPECT_FALSE(table.suspected_until(part, start + seconds(1)));
}

TEST(part_evidence_table, a_failing_fleet_does_not_condemn_a_popular_part)
{
    part_evidence_table table;
    table.record_success(popular_part, start);
    for (std::uint64_t engine = 1; engine <= 15; ++engine)
    {
        table.record_loss({popular_part, engine, 100 + engine},
                          start + milliseconds(120 * engine));
    }
    EXPECT_FALSE(table.suspected_until(popular_part, start + seconds(2)));
}

TEST(part_evidence_table, a_part_that_was_sound_before_can_be_suspected)
{
    part_evidence_table table;
    table.record_success(part, start);
    for (std::uint64_t engine = 1; engine <= 6; ++engine)
    {
        auto const now = start + milliseconds(500 * engine);
        EXPECT_FALSE(table.suspected_until(part, now));
        table.record_loss({part, engine, 100 + engine}, now);
    }
    EXPECT_TRUE(table.suspected_until(part, start + seconds(3)));
}

TEST(part_evidence_table, a_success_ends_a_wrong_suspicion)
{
    part_evidence_table table;
    record_three_losses(table);
    ASSERT_TRUE(table.suspected_until(part, start + seconds(4)));
    EXPECT_TRUE(table.record_success(part, start + seconds(4)));
    EXPECT_FALSE(table.suspected_until(part, start + seconds(5)));
}

TEST(part_evidence_table, a_suspicion_ends_by_age_at_the_time_it_states)
{
    part_evidence_table table;
    record_three_losses(table);
    auto const until = table.suspected_until(part, start + seconds(4));
    ASSERT_TRUE(until);
    EXPECT_TRUE(table.suspected_until(part, *until - milliseconds(1)));
    EXPECT_FALSE(table.suspected_until(part, *until));
    table.expire(start + seconds(200));
    EXPECT_FALSE(table.has_losses());
}

TEST(part_evidence_table, a_first_part_is_not_held_for_the_guilt_of_a_later_one)
{
    part_evidence_table table;
    for (std::uint64_t engine = 1; engine <= 5; ++engine)
    {
        auto const at = start + seconds(engine);
        table.record_loss({popular_part, engine, 100 + engine, 0}, at);
        table.record_loss({part, engine, 100 + engine, 1}, at);
    }
    EXPECT_TRUE(table.suspected_until(part, start + seconds(6)));
    EXPECT_FALSE(table.suspected_until(popular_part, start + seconds(6)));
}

TEST(part_evidence_table, a_prompt_that_ran_beside_a_guilty_part_is_not_held)
{
    part_evidence_table table;
    record_three_losses(table);
    table.record_loss({popular_part, 1, 7}, start + seconds(1));
    table.record_loss({popular_part, 2, 7}, start + seconds(2));
    EXPECT_FALSE(table.held_until(popular_part, 7, start + seconds(4)));
}

TEST(part_evidence_table, successes_of_other_daemons_are_not_passed_on)
{
    part_evidence_table table;
    record_three_losses(table);
    table.record_peer_success(part, start + seconds(4));
    EXPECT_FALSE(table.suspected_until(part, start + seconds(5)));
    EXPECT_TRUE(table.contrary_successes(10).empty());
    table.record_success(part, start + seconds(6));
    EXPECT_EQ(table.contrary_successes(10).size(), 1U);
}

TEST(part_evidence_table, a_guilty_first_part_is_found_by_its_other_prompts)
{
    part_evidence_table table;
    for (std::uint64_t engine = 1; engine <= 6; ++engine)
    {
        auto const at = start + seconds(engine);
        table.record_loss({part, engine, 100 + engine, 0}, at);
        table.record_loss(
            {engine <= 3 ? popular_part : 50 + engine, engine, 100 + engine, 1},
            at);
    }
    EXPECT_TRUE(table.suspected_until(part, start + seconds(7)));
}

TEST(part_evidence_table, repeated_and_reordered_evidence_changes_nothing)
{
    part_evidence_table table;
    record_three_losses(table);
    part_evidence_table copy;
    auto losses = table.counting_losses(start + seconds(4), 100);
    ASSERT_EQ(losses.size(), 3U);
    std::ranges::reverse(losses);
    for (int i = 0; i < 2; ++i)
    {
        for (auto const &[loss, at] : losses)
        {
            EXPECT_EQ(copy.record_loss(loss, at), i == 0);
        }
    }
    EXPECT_EQ(copy.suspected_until(part, start + seconds(4)),
              table.suspected_until(part, start + seconds(4)));
}

TEST(part_evidence_table, the_part_with_most_lost_engines_is_reported_first)
{
    part_evidence_table table;
    for (std::uint64_t other = 1000; other < 1500; ++other)
    {
        table.record_loss({other, 9, other}, start + seconds(5));
    }
    record_three_losses(table);
    auto const losses = table.counting_losses(start + seconds(6), 10);
    ASSERT_EQ(losses.size(), 10U);
    EXPECT_EQ(losses[2].first.part, part);
}

TEST(part_evidence_table, evidence_without_end_takes_bounded_memory)
{
    part_evidence_table table;
    for (std::uint64_t i = 0; i < 200'000; ++i)
    {
        table.record_loss({part, i, i}, start + milliseconds(i));
        table.record_loss({i, 1, 1}, start);
        table.record_success(i + 500'000, start + milliseconds(i));
    }
    auto const losses = table.counting_losses(start + seconds(200), 1'000'000);
    EXPECT_LE(losses.size(), 4096U * 16);
}

} // namespace
