// Guards against calls that fail one after the other because each takes another
// kept connection to a server whose open connections have gone silent.
#include "http_client.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr char const *whole_reply =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Makes calls at the same time, each on a connection of its own.
std::vector<http_outcome> outcomes_of(http_client &client, std::size_t count,
                                      std::string const &address,
                                      duration timeout)
{
    std::vector<http_outcome> outcomes;
    http_request request;
    request.address = address;
    request.path = "/";
    request.total_timeout = timeout;
    for (std::size_t i = 0; i < count; ++i)
    {
        client.send(request, [&outcomes](http_reply const &reply)
                    { outcomes.push_back(reply.outcome); });
    }
    run_main_context_until([&] { return outcomes.size() == count; });
    return outcomes;
}

TEST(silent_connection, only_one_call_fails_on_connections_that_went_silent)
{
    constexpr std::size_t kept_count = 4;
    std::atomic<bool> silent = false;
    raw_reply_server const server(
        [&silent](int index, std::string const &)
        { return silent && index > 0 ? "" : whole_reply; });
    http_client client;
    auto const first =
        outcomes_of(client, kept_count, server.address(), seconds(2));
    ASSERT_EQ(std::ranges::count(first, http_outcome::answered),
              static_cast<std::ptrdiff_t>(kept_count));
    silent = true;
    EXPECT_EQ(outcomes_of(client, 1, server.address(), milliseconds(200)),
              std::vector{http_outcome::failed_after_send});
    EXPECT_EQ(outcomes_of(client, 1, server.address(), seconds(2)),
              std::vector{http_outcome::answered});
}

} // namespace
