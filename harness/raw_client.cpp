#include "raw_client.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace agateledge
{

bool run_main_context_until(std::function<bool()> const &done, duration limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!done())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        if (g_main_context_iteration(nullptr, FALSE) == FALSE)
        {
            constexpr useconds_t pause_us = 200;
            usleep(pause_us);
        }
    }
    return true;
}

raw_client::raw_client(int port)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    closed = connect(socket_, reinterpret_cast<sockaddr *>(&address),
                     sizeof(address)) != 0;
    fcntl(socket_, F_SETFL, O_NONBLOCK);
}

raw_client::~raw_client()
{
    close();
}

bool raw_client::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const count =
            ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN)
        {
            return false;
        }
        bytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
        g_main_context_iteration(nullptr, FALSE);
    }
    return true;
}

bool raw_client::send_without_iteration(std::string_view bytes)
{
    auto const count =
        ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return count == static_cast<ssize_t>(bytes.size());
}

void raw_client::read_available()
{
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = recv(socket_, buffer.data(), buffer.size(), 0)) > 0)
    {
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    closed |= count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool raw_client::read_until(std::string_view text, duration limit)
{
    std::size_t searched_bytes = 0;
    return run_main_context_until(
        [this, text, &searched_bytes]
        {
            read_available();
            auto const from =
                searched_bytes - std::min(searched_bytes, text.size());
            searched_bytes = received.size();
            return received.find(text, from) != std::string::npos;
        },
        limit);
}

bool raw_client::read_until_closed(duration limit)
{
    return run_main_context_until(
        [this]
        {
            read_available();
            return closed;
        },
        limit);
}

void raw_client::shut_down_sending()
{
    shutdown(socket_, SHUT_WR);
}

void raw_client::close()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
        socket_ = -1;
    }
}

std::string make_http_request(std::string_view method, std::string_view path,
                              std::string_view headers, std::string_view body)
{
    std::string text(method);
    text.append(" ").append(path).append(" HTTP/1.1\r\nHost: localhost\r\n");
    text.append(headers);
    text.append("Content-Length: ").append(std::to_string(body.size()));
    text.append("\r\n\r\n").append(body);
    return text;
}

} // namespace agateledge
