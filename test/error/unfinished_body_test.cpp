// Guards against a request that runs with a part of its body because the client
// left before the end of the body, and the daemon sees both at once.
#include "connection_activity.hpp"
#include "gobject_ptr.hpp"
#include "guarded_stream.hpp"
#include "loopback_proxy.hpp"
#include "raw_client.hpp"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>

namespace
{

using namespace agateledge;

/// @return the last result of reading all of `bytes` through a guarded stream:
///         0 at their end, -1 at an error
gssize last_read(std::string const &bytes)
{
    gobject_ptr<GInputStream> const input(g_memory_input_stream_new_from_data(
        bytes.data(), static_cast<gssize>(bytes.size()), nullptr));
    gobject_ptr<GOutputStream> const output(
        g_memory_output_stream_new_resizable());
    gobject_ptr<GIOStream> const base(
        g_simple_io_stream_new(input.get(), output.get()));
    auto const guarded =
        guard_requests(base.get(), std::make_shared<connection_activity>());
    auto *guarded_input = g_io_stream_get_input_stream(guarded.get());
    std::array<char, 4096> buffer;
    gssize count = 1;
    while (count > 0)
    {
        count = g_input_stream_read(guarded_input, buffer.data(), buffer.size(),
                                    nullptr, nullptr);
    }
    return count;
}

TEST(unfinished_body, its_end_is_an_error_of_the_connection)
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(last_read(head), -1);
    EXPECT_EQ(last_read(head + "5\r\nab"), -1);
    EXPECT_EQ(last_read(head + "2\r\nab\r\n"), -1);
    EXPECT_EQ(last_read(head + "2\r\nab\r\n0\r\n"), -1);
    EXPECT_EQ(last_read("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"), -1);
    EXPECT_EQ(last_read(head + "2\r\nab\r\n0\r\n\r\n"), 0);
}

TEST(unfinished_body, a_request_whose_client_left_does_not_run)
{
    loopback_proxy daemon(seconds(1), milliseconds(1));
    run_main_context_until([] { return false; }, milliseconds(500));
    std::string const head = "POST /book/1 HTTP/1.1\r\nHost: localhost\r\n"
                             "Attempt-Id: a\r\nDeadline-Ms: 1000\r\n";
    for (auto const *body :
         {"Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
          "Content-Length: 5\r\n\r\nab"})
    {
        raw_client caller(daemon.port());
        ASSERT_TRUE(caller.send_without_iteration(head + body));
        caller.shut_down_sending();
        run_main_context_until([] { return false; }, milliseconds(200));
        EXPECT_EQ(daemon.calls(), 0) << body;
        raw_client gone(daemon.port());
        ASSERT_TRUE(gone.send_without_iteration(head + body));
        gone.close();
        run_main_context_until([] { return false; }, milliseconds(200));
        EXPECT_EQ(daemon.calls(), 0) << body;
    }
}

} // namespace
