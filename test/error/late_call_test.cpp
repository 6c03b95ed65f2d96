// Guards against a call that is sent after the time by which it may be sent.
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace
{

using namespace agateledge;

constexpr char const *whole_reply =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_outcome outcome_of_call(raw_reply_server const &server, instant send_by)
{
    http_client client;
    http_request request;
    request.address = server.address();
    request.path = "/";
    request.send_by = send_by;
    request.total_timeout = seconds(2);
    std::optional<http_reply> got;
    client.send(request, [&got](http_reply const &reply) { got = reply; });
    run_main_context_until([&got] { return got.has_value(); });
    return got.value_or(http_reply{}).outcome;
}

TEST(late_call, a_connection_that_is_established_too_late_is_not_used)
{
    raw_reply_server const server([](int, std::string const &)
                                  { return whole_reply; });
    auto const now = daemon_loop::clock_now();
    EXPECT_EQ(outcome_of_call(server, now + minutes(1)),
              http_outcome::answered);
    EXPECT_EQ(outcome_of_call(server, now), http_outcome::failed_before_send);
    EXPECT_EQ(server.requests(), 1);
}

} // namespace
