// Guards against a statement that has another meaning once it is printed and
// parsed again: the history shows printed statements, and operators reuse them.
#include "parse_statement.hpp"
#include "statement_text.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace
{

using namespace agateledge;

constexpr std::array<std::string_view, 30> texts{
    "show engines",
    "show engines where role = prefill and running > 3 and name contains ren "
    "order by open desc limit 5",
    "show requests where class != chapter-lookup order by age_ms limit 100",
    "show services",
    "show callers where requests_per_second >= 2.5",
    "show leases",
    "show orders where state = recorded",
    "show hosts",
    "show models",
    "show roles",
    "show revisions limit 3",
    "show classes",
    "show endpoints where open <= 4",
    "create service assistant model manual",
    "create service desk plain",
    "drop service \"old desk\"",
    "drop class booking of desk",
    "set class hint of assistant priority 0 first_token 850000us "
    "token_interval 56000us finish 10000000us weight 2.5 may_wait true "
    "expected_output 40",
    "assign engine e-1 to assistant at 127.0.0.1:9001 in rennes-a role decode "
    "version 2031-04",
    "release engine e-1",
    "set limit of caller stand-12 rate 5 burst 20",
    "drain host 10.0.0.7",
    "undrain endpoint desk-1",
    "withdraw engine e-2",
    "dry run load adapter horses version 7 on engine e-3",
    "change role of engine e-4 to mixed",
    "begin on revision 17; drain engine e-1; create service a model b; commit",
    "why engine e-1",
    "dry run undo revision 4",
    "history limit 20"};

TEST(statement_round_trip, prints_what_was_parsed)
{
    for (auto const text : texts)
    {
        auto const parsed = parse_statement(text);
        ASSERT_TRUE(parsed.ok()) << text << ": " << parsed.status();
        EXPECT_EQ(to_text(*parsed), text);
    }
}

TEST(statement_round_trip, ignores_case_blanks_and_comments)
{
    auto const parsed = parse_statement(
        "  BEGIN ;-- night shift\n DRAIN engine E-1;\n\tCommit ; -- end");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(to_text(*parsed), "drain engine E-1");
}

// 64 zero bytes used to be printed for a number of more than 64 digits.
TEST(statement_round_trip, prints_a_number_of_many_digits)
{
    auto const text = "set limit of caller stand-12 rate 0." +
                      std::string(80, '0') + "25 burst 20";
    auto const parsed = parse_statement(text);
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    auto const printed = to_text(*parsed);
    auto const again = parse_statement(printed);
    ASSERT_TRUE(again.ok()) << printed << ": " << again.status();
    EXPECT_EQ(*again, *parsed) << printed;
}

TEST(statement_round_trip, reads_durations_in_every_unit)
{
    auto const parsed = parse_statement(
        "set class a of b first_token 2s token_interval 60ms finish 1.5min");
    ASSERT_TRUE(parsed.ok()) << parsed.status();
    EXPECT_EQ(to_text(*parsed), "set class a of b first_token 2000000us "
                                "token_interval 60000us finish 90000000us");
}

} // namespace
