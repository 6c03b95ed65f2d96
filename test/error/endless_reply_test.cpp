// Guards against a faulty server that sends an endless head or body: memory
// must stay bounded, and the call must end before its timeout.
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace
{

using namespace agateledge;

/// Maximum bytes sent by the server before the call ends: the longest reply
/// that is collected, plus the socket buffers of both sides.
constexpr std::size_t max_sent_bytes = http_client::max_reply_bytes * 2;

void expect_bounded(std::string const &begin)
{
    fixed_reply_server const server(begin, connection_ending::endless);
    http_client client(connection_reuse::single_call);
    std::optional<http_reply> got;
    http_request request;
    request.address = server.address();
    request.path = "/";
    request.total_timeout = seconds(30);
    request.new_connection = true;
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
