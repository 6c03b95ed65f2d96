// Guards against a result code that is missing from docs/result-codes.md, or
// whose row there has another name, HTTP status or not-run flag than the code.
#include "result_code.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace
{

using namespace agateledge;

std::string read_page()
{
    std::ifstream file(SOURCE_DIR "/docs/result-codes.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

bool is_defined(int number)
{
    std::ifstream file(SOURCE_DIR "/src/result_code.hpp");
    std::string const text((std::istreambuf_iterator<char>(file)), {});
    return text.find(" = " + std::to_string(number) + ",") != std::string::npos;
}

TEST(result_codes_page, has_one_row_for_each_code)
{
    auto const page = read_page();
    constexpr int max_code = 999;
    int rows = 0;
    for (int number = 0; number <= max_code; ++number)
    {
        if (!is_defined(number))
        {
            continue;
        }
        ++rows;
        auto const code = static_cast<result_code>(number);
        auto const row = "| " + std::to_string(number) + " | `" +
                         std::string(name_of(code)) + "` | " +
                         std::to_string(http_status(code)) + " | " +
                         (guarantees_not_run(code) ? "yes" : "no") + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
    EXPECT_EQ(rows, 31);
}

} // namespace
