// Guards against a call that is sent after the time by which it may be sent,
// against one whose reply is lost because the main loop is late, and against a
// request that goes on to arrive after its call was given up.
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
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

/// Socket that accepts connections and takes few bytes until they are read.
class slow_listener
{
public:
    slow_listener() : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        int const small_buffer = 4096;
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &small_buffer,
                   sizeof small_buffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(socket_, reinterpret_cast<sockaddr *>(&address),
                         sizeof address),
                  0);
        listen(socket_, 1);
        socklen_t size = sizeof address;
        getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
    }
    ~slow_listener() { close(socket_); }
    slow_listener(slow_listener const &) = delete;
    slow_listener &operator=(slow_listener const &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// @return bytes that had arrived, and bytes that could be read in all
    std::pair<std::size_t, std::size_t> read_connection() const
    {
        int const peer = accept(socket_, nullptr, nullptr);
        int arrived = 0;
        ioctl(peer, FIONREAD, &arrived);
        std::string buffer(4096, 0);
        std::size_t total = 0;
        for (ssize_t count = 1; count > 0;)
        {
            count = recv(peer, buffer.data(), buffer.size(), 0);
            total += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
        close(peer);
        return {static_cast<std::size_t>(arrived), total};
    }

private:
    int socket_;
    int port_ = 0;
};

TEST(late_call, no_byte_arrives_after_its_call_was_given_up)
{
    slow_listener const instance;
    http_client client;
    http_request request;
    request.method = "POST";
    request.address = instance.address();
    request.path = "/";
    request.body =
        std::make_shared<std::string const>(std::string(1U << 20U, 'x'));
    request.reset_when_given_up = true;
    auto const call = client.open(request, {});
    run_main_context_until([] { return false; }, milliseconds(100));
    client.cancel(call);
    run_main_context_until([] { return false; }, milliseconds(100));
    auto const [arrived, total] = instance.read_connection();
    EXPECT_LE(total, arrived);
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
