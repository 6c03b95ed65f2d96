// Guards against a truncated reply being taken for a complete one, for each
// framing of the body and each way in which the connection can end.
#include "daemon_loop.hpp"
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"
#include "service_client.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace
{

using namespace agateledge;

http_outcome outcome_of(std::string const &reply, connection_ending ending,
                        std::string const &method = "GET")
{
    fixed_reply_server const server(reply, ending);
    http_client client;
    std::optional<http_reply> got;
    http_request request;
    request.address = server.address();
    request.method = method;
    request.path = "/";
    request.total_timeout = seconds(2);
    request.new_connection = true;
    client.send(request, [&got](http_reply const &answer) { got = answer; });
    run_main_context_until([&got] { return got.has_value(); });
    return got.value_or(http_reply{}).outcome;
}

constexpr char const *chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(truncated_reply, a_whole_chunked_body_is_answered)
{
    auto const reply = std::string(chunked_head) + "4\r\nabcd\r\n0\r\n\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::keep_open),
              http_outcome::answered);
}

TEST(truncated_reply, a_whole_chunked_body_is_answered_when_the_server_closes)
{
    auto const reply = std::string(chunked_head) + "4\r\nabcd\r\n0\r\n\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::answered);
}

constexpr char const *closing_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Connection: close\r\n\r\n";

// An engine that shuts down ends its streams like this; they used to be
// reported as truncated.
TEST(truncated_reply, a_whole_chunked_body_may_announce_the_close)
{
    auto const reply = std::string(closing_head) + "4\r\nabcd\r\n0\r\n\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::answered);
}

TEST(truncated_reply, a_chunked_body_without_its_end_may_not)
{
    auto const reply = std::string(closing_head) + "4\r\nabcd\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_last_chunk_without_its_empty_line_has_failed)
{
    auto const reply = std::string(closing_head) + "4\r\nabcd\r\n0\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::failed_after_send);
    EXPECT_EQ(outcome_of(reply, connection_ending::reset),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, an_announced_close_does_not_hide_a_reset)
{
    auto const reply = std::string(closing_head) + "4\r\nabcd\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::reset),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_chunked_body_without_its_end_has_failed)
{
    auto const reply = std::string(chunked_head) + "4\r\nabcd\r\n";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::failed_after_send);
    EXPECT_EQ(outcome_of(reply, connection_ending::reset),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_chunked_body_without_any_chunk_has_failed)
{
    EXPECT_EQ(outcome_of(chunked_head, connection_ending::close),
              http_outcome::failed_after_send);
    EXPECT_EQ(outcome_of(chunked_head, connection_ending::reset),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_chunk_that_breaks_off_has_failed)
{
    auto const reply = std::string(chunked_head) + "8\r\nabcd";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_body_shorter_than_its_length_has_failed)
{
    std::string const reply =
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcd";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::failed_after_send);
}

TEST(truncated_reply, a_reply_that_has_no_body_is_complete_without_it)
{
    std::string const length = "Content-Length: 8\r\n\r\n";
    EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\n" + length,
                         connection_ending::close, "HEAD"),
              http_outcome::answered);
    EXPECT_EQ(outcome_of("HTTP/1.1 304 Not Modified\r\n" + length,
                         connection_ending::close),
              http_outcome::answered);
}

TEST(truncated_reply, a_line_that_is_no_chunk_size_does_not_end_a_body)
{
    for (std::string const line :
         {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
          "xyz not a chunk\r\nmore\r\n"})
    {
        auto const reply = std::string(chunked_head) + "4\r\nabcd\r\n" + line;
        EXPECT_EQ(outcome_of(reply, connection_ending::close),
                  http_outcome::failed_after_send)
            << line;
    }
}

TEST(truncated_reply, a_body_without_a_length_ends_by_a_close_only)
{
    std::string const reply = "HTTP/1.1 200 OK\r\n\r\nabcd";
    EXPECT_EQ(outcome_of(reply, connection_ending::close),
              http_outcome::answered);
    EXPECT_EQ(outcome_of(reply, connection_ending::reset),
              http_outcome::failed_after_send);
}

// The head may have been cut between two lines; only a body shows its end.
TEST(truncated_reply, a_head_without_its_empty_line_has_failed)
{
    for (std::string const lines :
         {"", "Server-Signature: x\r\n", "Content-Type: text/event-stream\r\n",
          "Content-Length: 8\r\n", "Transfer-Encoding: chunked\r\n"})
    {
        for (auto const ending :
             {connection_ending::close, connection_ending::reset})
        {
            EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\n" + lines, ending),
                      http_outcome::failed_after_send)
                << lines;
        }
    }
}

service_reply_kind kind_of_endpoint_reply(
    std::string const &method,
    std::string const &reply = std::string(closing_head) + "2\r\n{}\r\n")
{
    fixed_reply_server const server(reply, connection_ending::close);
    world state({"daemon-1", incarnation_number(1), "zone-a", "127.0.0.1:1"},
                1);
    daemon_loop loop(state);
    http_client http;
    service_client client(http, loop);
    service_call call;
    call.address = server.address();
    call.method = method;
    call.path = "/";
    call.body = std::make_shared<std::string const>("{}");
    call.timeout = seconds(2);
    client.call(call);
    run_main_context_until([&state]
                           { return !state.in.service_replies.empty(); });
    return state.in.service_replies.empty()
               ? service_reply_kind::answered
               : state.in.service_replies.front().kind;
}

TEST(truncated_reply, an_endpoint_has_not_answered_by_it)
{
    EXPECT_EQ(kind_of_endpoint_reply("POST"),
              service_reply_kind::failed_after_send);
    EXPECT_EQ(kind_of_endpoint_reply("GET"),
              service_reply_kind::failed_after_send);
    std::string const cut_head = "HTTP/1.1 200 OK\r\nServer-Signature: x\r\n";
    EXPECT_EQ(kind_of_endpoint_reply("POST", cut_head),
              service_reply_kind::failed_after_send);
    EXPECT_EQ(kind_of_endpoint_reply("GET", cut_head),
              service_reply_kind::failed_after_send);
}

} // namespace
