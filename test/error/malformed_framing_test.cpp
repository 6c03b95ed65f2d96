// Guards against a message whose chunks are spoiled being taken for complete:
// replies of servers on all kinds of connections, and requests of callers at
// both front doors.
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "loopback_proxy.hpp"
#include "raw_client.hpp"
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace
{

using namespace agateledge;

/// Bytes in the place of a chunk header, or around a chunk, that are not valid.
constexpr std::array<std::string_view, 13> spoiled_chunks{
    "worker 3 ran out of memory\r\nwhile it wrote its answer\r\n",
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    "zzz\r\n\r\n",
    "\r\n\r\n",
    "\n\n",
    " 0\r\n\r\n",
    "-1\r\n\r\n",
    "0x0\r\n\r\n",
    "0 ran out\r\n\r\n",
    "{\"error\":1}\r\n\r\n",
    "ffffffffffffffffffff\r\nabcd\r\n0\r\n\r\n",
    "4\r\nabcdef\r\n0\r\n\r\n",
    std::string_view("\0\r\n\r\n", 5),
};

/// Valid bodies "abcd" + "efghijkl" in less usual forms.
constexpr std::array<std::string_view, 7> rare_bodies{
    "4\r\nabcd\r\n8\r\nefghijkl\r\n0\r\n\r\n",
    "4;name=value\r\nabcd\r\n8;a;b=\"c d\"\r\nefghijkl\r\n0;last\r\n\r\n",
    "0004\r\nabcd\r\n08\r\nefghijkl\r\n000\r\n\r\n",
    "C\r\nabcdefghijkl\r\n0\r\n\r\n",
    "c\r\nabcdefghijkl\r\n0\r\n\r\n",
    "4\r\nabcd\r\n8\r\nefghijkl\r\n0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n",
    "1\r\na\r\nB\r\nbcdefghijkl\r\n0\r\n\r\n",
};

http_reply reply_to(std::string const &bytes, bool new_connection,
                    connection_ending ending)
{
    fixed_reply_server const server(bytes, ending);
    http_client client;
    std::optional<http_reply> got;
    http_request request;
    request.address = server.address();
    request.path = "/";
    request.total_timeout = seconds(2);
    request.new_connection = new_connection;
    client.send(request, [&got](http_reply const &reply) { got = reply; });
    run_main_context_until([&got] { return got.has_value(); });
    return got.value_or(http_reply{});
}

std::string chunked_reply(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
           std::string(body);
}

void expect_no_answer(bool new_connection, connection_ending ending)
{
    std::ranges::for_each(
        spoiled_chunks,
        [new_connection, ending](std::string_view spoiled)
        {
            auto const reply =
                reply_to(chunked_reply("4\r\nabcd\r\n" + std::string(spoiled)),
                         new_connection, ending);
            EXPECT_EQ(reply.outcome, http_outcome::failed_after_send)
                << spoiled;
        });
}

TEST(malformed_framing, a_spoiled_chunk_does_not_complete_a_reply)
{
    expect_no_answer(true, connection_ending::close);
    expect_no_answer(true, connection_ending::keep_open);
}

TEST(malformed_framing, a_spoiled_chunk_does_not_complete_a_reply_to_the_store)
{
    expect_no_answer(false, connection_ending::close);
    expect_no_answer(false, connection_ending::keep_open);
}

TEST(malformed_framing, a_kept_connection_does_not_hide_a_cut_reply)
{
    auto const reply = reply_to(chunked_reply("4\r\nabcd\r\n"), false,
                                connection_ending::close);
    EXPECT_EQ(reply.outcome, http_outcome::failed_after_send);
}

TEST(malformed_framing, a_valid_body_in_a_rare_form_is_answered)
{
    for (bool const new_connection : {true, false})
    {
        std::ranges::for_each(
            rare_bodies,
            [new_connection](std::string_view body)
            {
                auto const reply = reply_to(chunked_reply(body), new_connection,
                                            connection_ending::keep_open);
                EXPECT_EQ(reply.outcome, http_outcome::answered) << body;
                EXPECT_EQ(reply.body, "abcdefghijkl") << body;
            });
    }
}

/// Text of an answer of either front door that reports a success.
bool is_success(raw_client const &client)
{
    return client.received.starts_with("HTTP/1.1 2");
}

/// Sends a chunked booking and waits until it is answered or cut.
void send_booking(raw_client &client, std::string const &head,
                  std::string_view body)
{
    client.send(head + "Transfer-Encoding: chunked\r\n\r\n" +
                std::string(body));
    run_main_context_until(
        [&client]
        {
            client.read_available();
            return client.closed ||
                   client.received.find("\r\n\r\n") != std::string::npos;
        },
        seconds(1));
    run_main_context_until([] { return false; }, milliseconds(30));
}

constexpr char const *proxied_booking =
    "POST /book/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: a\r\n"
    "Deadline-Ms: 1000\r\n";

TEST(malformed_framing, a_request_with_a_spoiled_chunk_is_not_forwarded)
{
    loopback_proxy daemon(seconds(1), milliseconds(1));
    run_main_context_until([] { return false; }, milliseconds(500));
    std::ranges::for_each(spoiled_chunks,
                          [&daemon](std::string_view spoiled)
                          {
                              raw_client client(daemon.port());
                              send_booking(client, proxied_booking,
                                           "4\r\nabcd\r\n" +
                                               std::string(spoiled));
                              EXPECT_FALSE(is_success(client)) << spoiled;
                              EXPECT_EQ(daemon.calls(), 0) << spoiled;
                          });
}

TEST(malformed_framing, a_request_in_a_rare_form_is_forwarded)
{
    loopback_proxy daemon(seconds(1), milliseconds(1));
    run_main_context_until([] { return false; }, milliseconds(500));
    std::ranges::for_each(rare_bodies,
                          [&daemon](std::string_view body)
                          {
                              raw_client client(daemon.port());
                              send_booking(client, proxied_booking, body);
                              EXPECT_TRUE(is_success(client)) << body;
                          });
    EXPECT_EQ(daemon.calls(), static_cast<int>(rare_bodies.size()));
}

TEST(malformed_framing, a_spoiled_request_of_the_own_interface_does_not_run)
{
    scripted_deployment deployment;
    auto const head =
        "POST /v1/services/desk/bookings HTTP/1.1\r\nHost: localhost\r\n"
        "Idempotency-Key: key\r\n" +
        std::string(caller_headers);
    std::ranges::for_each(
        spoiled_chunks,
        [&deployment, &head](std::string_view spoiled)
        {
            raw_client client(deployment.port());
            send_booking(client, head, "4\r\nabcd\r\n" + std::string(spoiled));
            EXPECT_FALSE(is_success(client)) << spoiled;
            EXPECT_EQ(deployment.request_counts["/bookings"], 0) << spoiled;
        });
    raw_client client(deployment.port());
    send_booking(client, head, rare_bodies.front());
    EXPECT_TRUE(is_success(client)) << client.received;
    EXPECT_EQ(deployment.request_counts["/bookings"], 1);
}

} // namespace
