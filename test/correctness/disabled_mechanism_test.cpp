// Guards against a randomised run that cannot see a broken promise: with a
// mechanism disabled, a short run must fail with the promise's violation.
#include "randomised_run.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

/// @return the first violation over a few seeds, or nothing
std::string violation_of(fault_switches const &switches)
{
    constexpr std::uint64_t seeds = 6;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        run_options options;
        options.seed = seed;
        options.switches = switches;
        auto const result = run_randomly(options);
        if (!result.violation.empty())
        {
            return result.violation;
        }
    }
    return {};
}

TEST(disabled_mechanism, calls_without_a_claim_run_twice)
{
    fault_switches switches;
    switches.skip_claim = true;
    EXPECT_NE(violation_of(switches).find("booking"), std::string::npos);
}

TEST(disabled_mechanism, a_shifted_resume_offset_is_seen)
{
    fault_switches switches;
    switches.shift_resume_offset = true;
    EXPECT_NE(violation_of(switches).find("has tokens from"),
              std::string::npos);
}

TEST(disabled_mechanism, a_refusal_after_the_send_is_seen)
{
    fault_switches switches;
    switches.refuse_after_send = true;
    EXPECT_NE(violation_of(switches).find("refused as not run"),
              std::string::npos);
}

TEST(disabled_mechanism, a_stop_without_a_drain_is_seen)
{
    fault_switches switches;
    switches.skip_drain = true;
    EXPECT_NE(violation_of(switches).find("cut request"), std::string::npos);
}

TEST(disabled_mechanism, nothing_is_seen_with_all_mechanisms)
{
    EXPECT_EQ(violation_of({}), "");
}

} // namespace
