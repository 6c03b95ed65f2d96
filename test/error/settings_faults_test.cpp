// Guards against errors in a settings file that are reported one at a time,
// without their line and key, or not at all.
#include "load_settings.hpp"
#include "settings.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

std::string faults_of(std::string const &text)
{
    auto const parsed = parse_settings(text, "test.toml");
    return parsed.ok() ? "" : std::string(parsed.status().message());
}

void expect_fault(std::string const &faults, std::string const &fault)
{
    EXPECT_NE(faults.find(fault), std::string::npos)
        << "expected: " << fault << "\nfaults:\n"
        << faults;
}

TEST(settings_faults, all_faults_of_a_file_are_reported_with_their_lines)
{
    auto const faults = faults_of("name = 5\n"
                                  "data_center = \"rennes-a\"\n"
                                  "[platform]\n"
                                  "table = \"nowhere\"\n"
                                  "[limits]\n"
                                  "max_connections = 0\n");
    expect_fault(faults, "test.toml:1: name: must be a non-empty string");
    expect_fault(faults, "test.toml:2: data_center: unknown key");
    expect_fault(faults, "data_centre: is missing");
    expect_fault(faults, "test.toml:4: platform.table: \"nowhere\" is not an "
                         "IP address and port");
    expect_fault(faults, "test.toml:6: limits.max_connections: must be an "
                         "integer from 1 to 100000");
}

TEST(settings_faults, contradictory_values_are_refused)
{
    auto const faults = faults_of("name = \"a\"\n"
                                  "data_centre = \"b\"\n"
                                  "[platform]\n"
                                  "table = \"127.0.0.1:1\"\n"
                                  "[[class]]\n"
                                  "name = \"hint\"\n"
                                  "service = \"absent\"\n"
                                  "first_token_ms = 500\n"
                                  "finish_ms = 100\n");
    expect_fault(faults, "test.toml:8: class[0].first_token_ms: must not be "
                         "longer than finish_ms");
    expect_fault(faults, "names the service \"absent\", which does not exist");
}

TEST(settings_faults, a_syntax_error_names_its_line)
{
    expect_fault(faults_of("name = \"a\"\nbroken = [\n"), "test.toml:");
}

} // namespace
