// Guards against a daemon that is busy with bodies in very small chunks and
// answers nobody else: each chunk costs the parser behind a fixed time.
#include "processor_share.hpp"
#include "request_framing.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

namespace
{

using namespace agateledge;

constexpr char const *chunked_head =
    "POST /book/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeat(std::string const &text, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out += text;
    }
    return out;
}

TEST(small_chunks, those_that_are_received_at_once_are_passed_on_as_one)
{
    request_framing framing;
    std::string out;
    framing.add(chunked_head + repeat("1\r\nx\r\n", 1000), out);
    EXPECT_EQ(out, chunked_head + ("3e8\r\n" + repeat("x", 1000) + "\r\n"));
}

TEST(small_chunks, work_over_its_share_waits_until_the_share_is_regained)
{
    processor_share share(0.5, milliseconds(5));
    instant now(seconds(1));
    share.record(milliseconds(5), now);
    EXPECT_EQ(share.wait(now), duration(0));
    share.record(milliseconds(4), now);
    EXPECT_EQ(share.wait(now), milliseconds(8));
    EXPECT_EQ(share.wait(now + milliseconds(8)), duration(0));
}

TEST(small_chunks, a_body_keeps_its_content_and_its_end_at_every_split)
{
    auto const request = std::string(chunked_head) +
                         "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n" +
                         "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::size_t split = 0; split <= request.size(); ++split)
    {
        request_framing framing;
        std::string out;
        framing.add(request.substr(0, split), out);
        framing.add(request.substr(split), out);
        EXPECT_FALSE(framing.malformed());
        auto const body_begin = out.find("\r\n\r\n") + 4;
        auto const body_end = out.find("0\r\n\r\n", body_begin);
        ASSERT_NE(body_end, std::string::npos) << split;
        EXPECT_EQ(out.substr(body_end),
                  "0\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        std::string content;
        for (char const item : out.substr(body_begin, body_end - body_begin))
        {
            if (item >= 'a' && item <= 'e')
            {
                content += item;
            }
        }
        EXPECT_EQ(content, "abcde") << split;
    }
}

} // namespace
