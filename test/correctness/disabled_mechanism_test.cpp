// Guards against a randomised test that does not detect a violated guarantee:
// with a safety mechanism disabled, a short run must report the violation of
// the guarantee that the mechanism provides.
#include "randomised_run.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

/// @return the first violation found with seeds 1 to 6, or an empty string
std::string find_violation(fault_switches const &switches)
{
    constexpr std::uint64_t last_seed = 6;
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
    {
        run_options options;
        options.seed = seed;
        options.switches = switches;
        auto const result = run_randomised(options);
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
    EXPECT_NE(find_violation(switches).find("booking"), std::string::npos);
}

TEST(disabled_mechanism, a_shifted_resume_offset_is_seen)
{
    fault_switches switches;
    switches.shift_resume_offset = true;
    EXPECT_NE(find_violation(switches).find("has tokens from"),
              std::string::npos);
}

TEST(disabled_mechanism, a_refusal_after_the_send_is_seen)
{
    fault_switches switches;
    switches.refuse_after_send = true;
    EXPECT_NE(find_violation(switches).find("refused as not run"),
              std::string::npos);
}

TEST(disabled_mechanism, a_stop_without_a_drain_is_seen)
{
    fault_switches switches;
    switches.skip_drain = true;
    EXPECT_NE(find_violation(switches).find("cut request"), std::string::npos);
}

TEST(disabled_mechanism, nothing_is_seen_with_all_mechanisms)
{
    EXPECT_EQ(find_violation({}), "");
}

} // namespace
