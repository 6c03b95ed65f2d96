// Guards against a caller that sends bytes without end and keeps the main loop
// of a daemon from serving others.
#include "internal_assert.hpp"
#include "loopback_proxy.hpp"
#include "raw_client.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

namespace
{

using namespace agateledge;

/// Bytes after which a flood ends, so that a daemon that reads all of it fails
/// its test instead of blocking it.
constexpr std::size_t max_flood_bytes = std::size_t{256} << 20;

/// Caller that sends `begin` and then repeats `unit`, from its own thread.
class flooding_caller
{
public:
    flooding_caller(int port, std::string begin, std::string_view unit)
        : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        internal_assert(connect(socket_, reinterpret_cast<sockaddr *>(&address),
                                sizeof(address)) == 0,
                        "the daemon takes no connection");
        timeval const send_timeout{0, 100'000};
        setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
                   sizeof(send_timeout));
        std::string block;
        constexpr std::size_t block_bytes = 65536;
        while (block.size() < block_bytes)
        {
            block += unit;
        }
        thread_ = std::thread(
            [this, begin = std::move(begin), block = std::move(block)]
            {
                ::send(socket_, begin.data(), begin.size(), MSG_NOSIGNAL);
                send_repeatedly(block);
            });
    }

    ~flooding_caller()
    {
        stopping_ = true;
        thread_.join();
        close(socket_);
    }
    flooding_caller(flooding_caller const &) = delete;
    flooding_caller &operator=(flooding_caller const &) = delete;

    std::size_t bytes_sent() const { return bytes_sent_; }

private:
    void send_repeatedly(std::string const &block)
    {
        while (!stopping_ && bytes_sent_ < max_flood_bytes)
        {
            auto const begin = bytes_sent_ % block.size();
            auto const sent = ::send(socket_, block.data() + begin,
                                     block.size() - begin, MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN)
            {
                return;
            }
            bytes_sent_ += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        }
    }

    int socket_;
    std::atomic<std::size_t> bytes_sent_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

constexpr duration route_timeout = seconds(3);

class endless_request : public testing::Test
{
protected:
    endless_request()
    {
        run_main_context_until([] { return false; }, milliseconds(500));
    }

    /// Expects a booking to be answered in time while a flood arrives.
    void expect_service_beside(std::string const &begin, std::string_view unit)
    {
        flooding_caller const flood(daemon.port(), begin, unit);
        run_main_context_until([&flood] { return flood.bytes_sent() > 0; });
        auto const sent_at = std::chrono::steady_clock::now();
        raw_client caller(daemon.port());
        caller.send(make_http_request(
            "POST", "/book/1", "Attempt-Id: a\r\nDeadline-Ms: 3000\r\n", "{}"));
        EXPECT_TRUE(caller.read_until("seat of a")) << caller.received;
        EXPECT_LT(std::chrono::steady_clock::now() - sent_at, route_timeout);
    }

    loopback_proxy daemon{route_timeout, milliseconds(1)};
};

constexpr char const *chunked_booking =
    "POST /book/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: b\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

TEST_F(endless_request, blank_lines_do_not_delay_others)
{
    expect_service_beside("", "\r\n");
}

TEST_F(endless_request, header_lines_do_not_delay_others)
{
    expect_service_beside("POST /book/1 HTTP/1.1\r\n", "X: y\r\n");
}

TEST_F(endless_request, small_chunks_do_not_delay_others)
{
    expect_service_beside(chunked_booking, "1\r\nx\r\n");
}

TEST_F(endless_request, a_chunk_extension_does_not_delay_others)
{
    expect_service_beside(chunked_booking + std::string("1;"), "x");
}

TEST_F(endless_request, requests_in_a_row_do_not_delay_others)
{
    expect_service_beside("", "GET /none HTTP/1.1\r\nHost: localhost\r\n\r\n");
}

} // namespace
