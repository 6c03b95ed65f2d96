// Guards against a call that is sent after the time by which it may be sent,
// and against one whose reply is lost because the main loop is late.
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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

TEST(late_call, a_reply_that_waits_in_the_socket_outlives_the_timeout)
{
    raw_reply_server const server([](int, std::string const &)
                                  { return whole_reply; });
    http_client client;
    http_request request;
    request.address = server.address();
    request.path = "/";
    request.total_timeout = milliseconds(100);
    std::vector<http_outcome> outcomes;
    for (std::size_t count = 1; count <= 2; ++count)
    {
        client.send(request, [&outcomes](http_reply const &reply)
                    { outcomes.push_back(reply.outcome); });
        if (count == 2)
        {
            // The kept connection has taken the request already.
            g_usleep(300'000);
        }
        run_main_context_until([&] { return outcomes.size() == count; });
    }
    EXPECT_EQ(outcomes, std::vector(2, http_outcome::answered));
}

} // namespace
