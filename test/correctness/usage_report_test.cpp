// Guards against usage reports that are missing, late, wrong or different from
// an earlier report of the same window.
#include "duty_model.hpp"

#include <gtest/gtest.h>

namespace agateledge
{

namespace
{

constexpr int daemons = 4;
constexpr auto step = milliseconds(100);

/// Lets all daemons begin requests; large ones for a daemon with a low index.
void run_traffic(duty_model &model, duration time)
{
    for (duration done{}; done < time; done += step)
    {
        for (int i = 0; i < daemons; ++i)
        {
            model.begin_requests(i, "large", 4);
            model.begin_requests(i, "account-" + std::to_string(i), 1);
        }
        model.advance(step);
    }
}

/// Expects a report for each window with requests. Only what one daemon counted
/// in `lost_time` may be missing.
void expect_reports(duty_model &model, duration lost_time, duration max_delay)
{
    EXPECT_EQ(model.violations, std::vector<std::string>());
    ASSERT_FALSE(model.begun.empty());
    for (auto const &[window, accounts] : model.begun)
    {
        ASSERT_TRUE(model.reports.contains(window)) << window;
        EXPECT_LE(model.delays.at(window), max_delay) << window;
        for (auto const &[account, requests] : accounts)
        {
            auto const lost = static_cast<std::uint64_t>(lost_time / step) *
                              (account == "large" ? 4 : 1);
            auto const reported = model.reports.at(window)[account];
            EXPECT_LE(reported, requests) << window << " " << account;
            EXPECT_LE(requests, reported + lost) << window << " " << account;
        }
    }
}

int index_of(std::string const &holder)
{
    return holder.back() - '0';
}

TEST(usage_report, windows_are_reported_in_time_with_exact_counts)
{
    duty_model model(daemons);
    model.advance(seconds(8));
    auto const before = model.transactions;
    run_traffic(model, seconds(42));
    model.advance(seconds(10));
    expect_reports(model, duration(), seconds(3));
    // The report of a window is written with a renewal of the lease.
    EXPECT_LE(model.transactions - before, 2U * 52 * 10 / 7 + 20);
}

TEST(usage_report, a_killed_holder_is_replaced_before_its_report_is_due)
{
    for (int offset = 0; offset < 10; ++offset)
    {
        duty_model model(daemons);
        model.advance(seconds(8));
        run_traffic(model, seconds(12) + offset * milliseconds(500));
        auto const holder = index_of(model.holder(duty::report_usage));
        // It returns after its successor has taken over.
        model.at(holder).frozen_until = instant::max();
        run_traffic(model, seconds(12));
        model.restart(holder);
        run_traffic(model, seconds(8));
        model.advance(seconds(20));
        expect_reports(model, milliseconds(500), seconds(10));
    }
}

TEST(usage_report, reports_wait_for_the_store_and_the_platform)
{
    duty_model model(daemons);
    model.advance(seconds(8));
    run_traffic(model, seconds(12));
    model.stop_platform(seconds(9));
    run_traffic(model, seconds(14));
    model.stop_store(seconds(13));
    run_traffic(model, seconds(20));
    model.advance(seconds(20));
    expect_reports(model, duration(), seconds(25));
}

TEST(usage_report, lost_answers_repeat_the_same_report)
{
    duty_model model(daemons);
    model.advance(seconds(8));
    run_traffic(model, seconds(12));
    model.at(index_of(model.holder(duty::report_usage))).answers_lost_until =
        instant(hours(1)) + seconds(26);
    run_traffic(model, seconds(15));
    model.advance(seconds(20));
    expect_reports(model, duration(), seconds(12));
}

TEST(usage_report, a_partitioned_daemon_delivers_later)
{
    duty_model model(daemons);
    model.advance(seconds(8));
    run_traffic(model, seconds(7));
    auto const other =
        (index_of(model.holder(duty::report_usage)) + 1) % daemons;
    model.at(other).notices_lost_until = instant(hours(1)) + seconds(20);
    run_traffic(model, seconds(20));
    model.advance(seconds(20));
    expect_reports(model, duration(), seconds(10));
}

// The time of day of two hosts jumps and returns; one of them starts meanwhile,
// so that it never saw the right time.
TEST(usage_report, jumps_of_the_time_of_day_do_not_shift_requests)
{
    duty_model model(daemons);
    model.advance(seconds(8));
    run_traffic(model, seconds(7));
    auto const holder = index_of(model.holder(duty::report_usage));
    auto const other = (holder + 1) % daemons;
    model.at(holder).skew = seconds(6);
    model.at(other).skew = -seconds(4);
    model.restart(other);
    model.advance(seconds(2));
    run_traffic(model, seconds(20));
    model.at(holder).skew = model.at(other).skew = duration();
    run_traffic(model, seconds(10));
    model.advance(seconds(20));
    expect_reports(model, milliseconds(500), seconds(10));
}

TEST(usage_report, reports_go_on_after_the_store_returns_from_an_older_copy)
{
    for (int age = 1; age < 14; age += 2)
    {
        duty_model model(daemons);
        model.advance(seconds(8));
        run_traffic(model, seconds(16));
        model.run({lease_event::older_copy, 0, age});
        run_traffic(model, seconds(16));
        model.advance(seconds(25));
        expect_reports(model, duration(), seconds(20));
    }
}

} // namespace

} // namespace agateledge
