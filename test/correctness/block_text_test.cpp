#include "block_text.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

TEST(block_text, pieces_of_any_size_are_joined)
{
    for (std::size_t const piece : {1U, 1000U, 65536U, 65537U, 300000U})
    {
        block_text text;
        std::string expected;
        constexpr std::size_t size = 400000;
        for (char letter = 'a'; expected.size() < size;
             letter = letter == 'z' ? 'a' : static_cast<char>(letter + 1))
        {
            std::string const part(piece, letter);
            text.append(part);
            expected += part;
        }
        EXPECT_EQ(text.size(), expected.size());
        EXPECT_LE(text.capacity(), expected.size() + 2 * 65536);
        EXPECT_TRUE(text.take() == expected) << piece;
        EXPECT_TRUE(text.empty());
        EXPECT_EQ(text.capacity(), 0U);
    }
}

} // namespace
