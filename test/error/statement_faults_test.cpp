// Guards against a parse error that gives the wrong line or column, or does not
// say what is accepted there.
#include "parse_statement.hpp"
#include "result_code.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

using namespace agateledge;

struct fault
{
    std::string text;
    std::string place;
    std::string expected;
};

std::vector<fault> const faults{
    {"", "line 1, column 1", "a statement"},
    {"shew engines", "line 1, column 1", "a statement"},
    {"show motors", "line 1, column 6", "what to show (services,"},
    {"show engines where colour = red", "line 1, column 20",
     "a column of engines (name, address,"},
    {"show callers order by role", "line 1, column 23",
     "a column of callers (name, account,"},
    {"show engines where name ~ x", "line 1, column 25", "a comparison"},
    {"show engines limit many", "line 1, column 20", "a whole number"},
    {"show engines limit 3 4", "line 1, column 22", "the end of the statement"},
    {"create service a", "line 1, column 17", "\"model\" or \"plain\""},
    {"drop engine e", "line 1, column 6", "\"service\" or \"class\""},
    {"set class a of b", "line 1, column 17", "a field (priority,"},
    {"set class a of b finish 10", "line 1, column 25", "a duration"},
    {"set class a of b may_wait 1", "line 1, column 27", "\"true\""},
    {"set limit of caller c rate nan", "line 1, column 28", "a number"},
    {"set limit of caller c rate -1", "line 1, column 28", "a number"},
    {"change role of engine e to cook", "line 1, column 28", "a role"},
    {"begin on revision 3;\n drain engine a;\n  dance;", "line 3, column 3",
     "a change (create, drop, set, assign, release, drain, undrain, withdraw "
     "or restore) or \"commit\""},
    {"begin; commit", "line 1, column 8", "a change"},
    {"begin; drain engine a commit", "line 1, column 23", "\";\""},
    {"drop service \"a", "line 1, column 16", "a closing quote"},
    {"drain engine \"Kérity\" now", "line 1, column 23",
     "the end of the statement"},
    {"\xc3\xa9 engines", "line 1, column 1", "a statement"},
    {"why", "line 1, column 4", "\"request\""},
    {"undo", "line 1, column 5", "\"revision\""},
    {"dry run show engines", "line 1, column 9", "a change, an order"},
    {"drop service \xff", "line 1, column 14", "UTF-8"},
};

TEST(statement_faults, name_the_place_and_what_was_expected)
{
    for (auto const &item : faults)
    {
        auto const parsed = parse_statement(item.text);
        ASSERT_FALSE(parsed.ok()) << item.text;
        std::string const message(parsed.status().message());
        EXPECT_EQ(code_of(parsed.status()), result_code::invalid_statement);
        EXPECT_EQ(message.rfind(item.place + ":", 0), 0U) << item.text << "\n"
                                                          << message;
        EXPECT_NE(message.find("expected " + item.expected), std::string::npos)
            << item.text << "\n"
            << message;
    }
}

TEST(statement_faults, bounds_the_text_and_the_transaction)
{
    std::string const long_text(max_statement_bytes + 1, ' ');
    EXPECT_FALSE(parse_statement(long_text).ok());
    std::string many = "begin;";
    for (std::size_t i = 0; i <= max_transaction_changes; ++i)
    {
        many += "drain engine a;";
    }
    EXPECT_FALSE(parse_statement(many + "commit").ok());
}

} // namespace
