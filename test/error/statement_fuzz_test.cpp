// Guards against a statement text that crashes the parser, that is printed as a
// statement with another meaning, or whose error has no line and column.
#include "parse_statement.hpp"
#include "random_source.hpp"
#include "result_code.hpp"
#include "statement_text.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace
{

using namespace agateledge;

constexpr int fuzz_texts = 30000;
constexpr std::size_t max_words = 24;

constexpr std::array words{
    "show",     "engines", "where",    "order",   "by",       "limit",
    "begin",    "on",      "revision", "commit",  "drain",    "engine",
    "set",      "class",   "of",       "create",  "service",  "model",
    "plain",    "drop",    "why",      "request", "refusal",  "undo",
    "dry",      "run",     "history",  "load",    "version",  "adapter",
    "change",   "role",    "to",       "=",       "!=",       "<",
    "contains", ";",       "\"",       "\\",      "--",       "\n",
    "a",        "e-1",     "17",       "2.5s",    "1e400",    "-3",
    "\xc3\xa9", "\xff",    "priority", "finish",  "may_wait", "true",
    "name",     "desc"};

std::string random_text(random_source &random)
{
    std::string text;
    auto const length = random.below(max_words);
    for (std::uint64_t i = 0; i < length; ++i)
    {
        text += words.at(random.below(words.size()));
        text += random.below(8) == 0 ? "" : " ";
    }
    return text;
}

TEST(statement_fuzz, either_prints_back_or_names_the_place)
{
    random_source random(20310401);
    int parsed_texts = 0;
    for (int i = 0; i < fuzz_texts; ++i)
    {
        auto const text = random_text(random);
        auto const parsed = parse_statement(text);
        if (!parsed.ok())
        {
            ASSERT_EQ(parsed.status().message().substr(0, 5), "line ") << text;
            continue;
        }
        ++parsed_texts;
        auto const again = parse_statement(to_text(*parsed));
        ASSERT_TRUE(again.ok()) << text << "\n" << to_text(*parsed);
        ASSERT_EQ(*again, *parsed) << text;
    }
    EXPECT_GT(parsed_texts, 0);
}

} // namespace
