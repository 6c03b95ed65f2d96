// Guards against accepted calls that never end. These seeds failed when
// admission refused resumed requests, and when a daemon activated an empty
// configuration from a row without sections.
#include "randomised_run.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

std::string violation_of(char const *deployment, std::uint64_t seed)
{
    run_options options;
    options.deployment = deployment;
    options.seed = seed;
    return run_randomised(options).violation;
}

TEST(resumed_request_ends, at_kerbrat)
{
    EXPECT_EQ(violation_of("kerbrat", 3), "");
}

TEST(resumed_request_ends, at_bellhaven)
{
    EXPECT_EQ(violation_of("bellhaven", 1), "");
    EXPECT_EQ(violation_of("bellhaven", 2), "");
}

} // namespace
