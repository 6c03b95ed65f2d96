// Guards against a verdict on a message that depends on how the network splits
// its bytes.
#include "reply_parser.hpp"
#include "request_framing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace
{

using namespace agateledge;
using namespace std::string_literals;

struct parsed_reply
{
    reply_progress progress = reply_progress::incomplete;
    int status = 0;
    std::string body;
};

/// Parses `bytes` in two pieces, or byte by byte for `split` 0.
parsed_reply parse(std::string_view bytes, std::size_t split,
                   bool close = false)
{
    parsed_reply out;
    reply_parser parser("GET", {[&out](int status, header_list const &)
                                { out.status = status; },
                                [&out](std::string_view part)
                                { out.body.append(part); }});
    auto const step = split == 0 ? 1 : split;
    for (std::size_t begin = 0; begin < bytes.size();)
    {
        auto const size = begin == 0 || split == 0 ? step : bytes.size();
        parser.add(bytes.substr(begin, size));
        begin += size;
    }
    out.progress = close ? parser.end_of_input() : parser.progress();
    return out;
}

template <class Check>
void for_each_split(std::string_view bytes, Check const &check)
{
    for (std::size_t split = 0; split <= bytes.size(); ++split)
    {
        check(split);
    }
}

constexpr std::array<std::string_view, 4> whole_replies{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;x=y\r\nabc\r\n01\r\nd\r\n0\r\nX: y\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
    "HTTP/1.0 200 OK\r\nX:y\r\n folded\r\nContent-Length:4\r\n\r\nabcd",
};

TEST(reply_parser, a_whole_reply_is_complete_however_it_is_split)
{
    std::ranges::for_each(
        whole_replies,
        [](std::string_view bytes)
        {
            for_each_split(bytes,
                           [bytes](std::size_t split)
                           {
                               auto const got = parse(bytes, split);
                               EXPECT_EQ(got.progress, reply_progress::complete)
                                   << bytes << split;
                               EXPECT_EQ(got.status, 200);
                               EXPECT_EQ(got.body, "abcd");
                           });
        });
}

TEST(reply_parser, a_part_of_a_reply_is_truncated)
{
    std::ranges::for_each(
        whole_replies,
        [](std::string_view bytes)
        {
            for (std::size_t size = 0; size < bytes.size(); ++size)
            {
                auto const part = bytes.substr(0, size);
                EXPECT_EQ(parse(part, 0).progress, reply_progress::incomplete);
                EXPECT_EQ(parse(part, 0, true).progress,
                          reply_progress::truncated)
                    << part;
            }
        });
}

constexpr std::array<std::string_view, 17> malformed_replies{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\nworker 3 ended\r\nwhile it wrote\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
    "HTTP/1.1 2x0 OK\r\n\r\n",
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent\tLength: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA\x7f: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: c\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nA: c\x01\r\nContent-Length: 2\r\n\r\nok",
    "worker 3 ended\r\nwhile it wrote\r\n\r\n",
};

TEST(reply_parser, a_malformed_reply_is_found_however_it_is_split)
{
    std::ranges::for_each(malformed_replies,
                          [](std::string_view bytes)
                          {
                              for_each_split(
                                  bytes,
                                  [bytes](std::size_t split)
                                  {
                                      EXPECT_EQ(parse(bytes, split).progress,
                                                reply_progress::malformed)
                                          << bytes << split;
                                  });
                          });
}

TEST(reply_parser, a_connection_with_bytes_after_a_reply_is_not_reused)
{
    auto const reusable = [](std::string const &bytes)
    {
        reply_parser parser("GET", {});
        parser.add(bytes);
        return parser.connection_is_reusable();
    };
    std::string const reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    EXPECT_TRUE(reusable(reply + "\r\nok"));
    EXPECT_FALSE(reusable(reply + "\r\nok" + reply));
    EXPECT_FALSE(reusable(reply + "Connection: close\r\n\r\nok"));
}

std::pair<std::string, bool> checked(std::string_view bytes, std::size_t split)
{
    request_framing framing;
    std::string out;
    framing.add(bytes.substr(0, split), out);
    for (auto const byte : bytes.substr(split))
    {
        framing.add({&byte, 1}, out);
    }
    return {out, framing.malformed()};
}

/// Reads chunks as strictly as they must be passed on.
///
/// @param text begins with a chunk; what follows the body is left of it
/// @return content up to the first text that is no chunk, and whether a last
///         chunk without trailers ended it
std::pair<std::string, bool> content_of_chunks(std::string &text)
{
    std::string content;
    while (true)
    {
        auto const digits =
            std::min(text.find_first_not_of("0123456789abcdef"), text.size());
        auto const size =
            digits == 0 ? 0 : std::stoul(text.substr(0, digits), nullptr, 16);
        auto const length = digits + 2 + size + 2;
        bool const whole = digits > 0 && length <= text.size() &&
                           text.substr(digits, 2) == "\r\n" &&
                           text.substr(length - 2, 2) == "\r\n";
        if (!whole)
        {
            return {content, false};
        }
        content += text.substr(digits + 2, size);
        text.erase(0, length);
        if (size == 0)
        {
            return {content, true};
        }
    }
}

TEST(request_framing, valid_requests_pass_whole_however_they_are_split)
{
    std::string const head = "POST /a%c3%a9/../b?c=%2f HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    auto const first =
        head + "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX: y\r\n\r\n";
    std::string const second =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
    auto const both = first + second;
    for (std::size_t split = 0; split <= both.size(); ++split)
    {
        auto [out, malformed] = checked(both, split);
        EXPECT_TRUE(out.starts_with(head)) << out;
        out.erase(0, head.size());
        EXPECT_EQ(content_of_chunks(out), std::pair("abc0123456789"s, true))
            << split;
        EXPECT_EQ(out, second) << split;
        EXPECT_FALSE(malformed);
    }
}

TEST(request_framing, nothing_passes_after_a_spoiled_chunk)
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    auto const spoiled = head + "3\r\nabc\r\nno chunk\r\n\r\n0\r\n\r\n";
    for (std::size_t split = 0; split <= spoiled.size(); ++split)
    {
        auto [out, malformed] = checked(spoiled, split);
        EXPECT_TRUE(head.starts_with(out.substr(0, head.size()))) << out;
        out.erase(0, std::min(head.size(), out.size()));
        auto const [content, ended] = content_of_chunks(out);
        EXPECT_TRUE("abc"s.starts_with(content)) << content;
        EXPECT_FALSE(ended);
        EXPECT_EQ(out, "");
        EXPECT_TRUE(malformed);
    }
}

TEST(request_framing, a_malformed_head_does_not_pass)
{
    std::string const head = "POST / HTTP/1.1\r\nHost : h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n";
    for (std::size_t split = 0; split <= head.size(); ++split)
    {
        auto const [out, malformed] = checked(head, split);
        EXPECT_EQ(out, "INVALID\r\n\r\n");
        EXPECT_TRUE(malformed);
    }
}

} // namespace
