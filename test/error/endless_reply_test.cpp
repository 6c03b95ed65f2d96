// Guards against a faulty server that sends an endless head or body: memory
// must stay bounded, and the call must end before its timeout.
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace
{

using namespace agateledge;

/// Maximum bytes sent by the server before the call ends: the longest reply
/// that is collected, plus the socket buffers of both sides.
constexpr std::size_t max_sent_bytes = http_client::max_reply_bytes * 2;

http_request request_to(fixed_reply_server const &server)
{
    http_request request;
    request.address = server.address();
    request.path = "/";
    request.total_timeout = seconds(30);
    return request;
}

/// @param repeated_bytes number of bytes at the end of `begin` that the server
///        repeats without end
void expect_bounded(std::string const &begin, std::size_t repeated_bytes = 1,
                    connection_reuse reuse = connection_reuse::single_call)
{
    fixed_reply_server const server(begin, connection_ending::endless,
                                    repeated_bytes);
    http_client client(reuse);
    std::optional<http_reply> got;
    auto request = request_to(server);
    request.new_connection = reuse == connection_reuse::single_call;
    client.send(request, [&got](http_reply const &answer) { got = answer; });
    run_main_context_until([&got] { return got.has_value(); });
    ASSERT_TRUE(got.has_value()) << server.bytes_sent() << " bytes sent";
    EXPECT_EQ(got->outcome, http_outcome::failed_after_send);
    run_main_context_until([&server] { return server.closed_by_caller(); });
    EXPECT_TRUE(server.closed_by_caller());
    EXPECT_LE(server.bytes_sent(), max_sent_bytes);
}

TEST(endless_reply, a_status_line_ends)
{
    expect_bounded("HTTP/1.1 200 OOOO");
}

TEST(endless_reply, bytes_that_are_no_head_end)
{
    expect_bounded("zzzz");
}

TEST(endless_reply, a_header_ends)
{
    expect_bounded("HTTP/1.1 200 OK\r\nServer: xxxx");
}

TEST(endless_reply, blank_lines_before_a_head_end)
{
    expect_bounded("\n\n\n\n");
}

constexpr std::string_view interim_heads[]{
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
};

TEST(endless_reply, interim_heads_end)
{
    for (auto const head : interim_heads)
    {
        expect_bounded(std::string(head), head.size());
    }
}

TEST(endless_reply, interim_heads_on_a_kept_connection_end)
{
    for (auto const head : interim_heads)
    {
        expect_bounded(std::string(head), head.size(),
                       connection_reuse::keep_alive);
    }
}

TEST(endless_reply, interim_heads_do_not_delay_other_calls)
{
    auto const head = interim_heads[0];
    fixed_reply_server const faulty(std::string(head),
                                    connection_ending::endless, head.size());
    fixed_reply_server const sound(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        connection_ending::keep_open);
    http_client client(connection_reuse::single_call);
    client.send(request_to(faulty), [](http_reply const &) {});
    run_main_context_until([&faulty] { return faulty.bytes_sent() > 0; });
    std::optional<http_reply> got;
    auto const begin = std::chrono::steady_clock::now();
    client.send(request_to(sound),
                [&got](http_reply const &answer) { got = answer; });
    run_main_context_until([&got] { return got.has_value(); });
    EXPECT_EQ(got.value_or(http_reply{}).body, "ok");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds(3));
}

TEST(endless_reply, interim_heads_before_an_answer_are_skipped)
{
    constexpr int count = 100;
    std::string reply;
    for (int i = 0; i < count; ++i)
    {
        reply += interim_heads[1];
    }
    reply += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    fixed_reply_server const server(reply, connection_ending::keep_open);
    http_client client(connection_reuse::single_call);
    std::optional<http_reply> got;
    client.send(request_to(server),
                [&got](http_reply const &answer) { got = answer; });
    run_main_context_until([&got] { return got.has_value(); });
    EXPECT_EQ(got.value_or(http_reply{}).body, "ok");
}

TEST(endless_reply, a_body_without_a_length_ends)
{
    expect_bounded("HTTP/1.1 200 OK\r\n\r\nxxxx");
}

TEST(endless_reply, a_chunk_ends)
{
    expect_bounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "fffffffff\r\nxxxx");
}

TEST(endless_reply, a_chunk_header_ends)
{
    expect_bounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nabcd\r\n0000");
}

TEST(endless_reply, trailers_end)
{
    expect_bounded("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nabcd\r\n0\r\nTrailer: xxxx");
}

} // namespace
