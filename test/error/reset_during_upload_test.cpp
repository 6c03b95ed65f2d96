// Guards against a part of a reply being taken for the whole because the
// connection was reset while the request was still being sent.
#include "http_client.hpp"
#include "raw_client.hpp"

#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace
{

using namespace agateledge;

constexpr std::size_t upload_bytes = std::size_t{3} << 20;

/// Server with a small receive buffer that reads the begin of one request,
/// sends a reply and resets the connection after a pause.
class resetting_server
{
public:
    resetting_server(std::string reply, std::chrono::milliseconds pause)
        : reply_(std::move(reply)), pause_(pause),
          listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        int const small_buffer = 4096;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &small_buffer,
                   sizeof small_buffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr *>(&address),
                         sizeof address),
                  0);
        listen(listener_, 1);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~resetting_server()
    {
        thread_.join();
        close(listener_);
    }
    resetting_server(resetting_server const &) = delete;
    resetting_server &operator=(resetting_server const &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve() const
    {
        int const peer = accept(listener_, nullptr, nullptr);
        std::string buffer(1024, 0);
        recv(peer, buffer.data(), buffer.size(), 0);
        send(peer, reply_.data(), reply_.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(pause_);
        linger const reset{1, 0};
        setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(peer);
    }

    std::string reply_;
    std::chrono::milliseconds pause_;
    int listener_;
    int port_ = 0;
    std::thread thread_;
};

http_outcome outcome_of(std::string const &reply,
                        std::chrono::milliseconds pause)
{
    resetting_server const server(reply, pause);
    http_client client;
    http_request request;
    request.method = "POST";
    request.address = server.address();
    request.path = "/";
    request.body =
        std::make_shared<std::string const>(std::string(upload_bytes, 'x'));
    request.total_timeout = seconds(2);
    std::optional<http_reply> got;
    client.send(request, [&got](http_reply const &answer) { got = answer; });
    run_main_context_until([&got] { return got.has_value(); });
    return got.value_or(http_reply{}).outcome;
}

TEST(reset_during_upload, a_part_without_a_declared_length_is_not_the_whole)
{
    for (int const pause : {0, 1, 5, 20, 100})
    {
        EXPECT_EQ(outcome_of("HTTP/1.1 200 OK\r\n\r\npart of the body",
                             std::chrono::milliseconds(pause)),
                  http_outcome::failed_after_send)
            << pause;
    }
}

TEST(reset_during_upload, an_early_reply_with_its_length_is_whole)
{
    EXPECT_EQ(
        outcome_of("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno",
                   std::chrono::milliseconds(50)),
        http_outcome::answered);
}

} // namespace
