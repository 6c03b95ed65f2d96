#include "bench_caller.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

duration clock_now()
{
    return std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch());
}

int open_socket(int port)
{
    auto const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int const on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address),
                sizeof(address)) != 0)
    {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

bench_caller::bench_caller(int port, std::string request)
    : port_(port), request_(std::move(request))
{
}

bench_caller::~bench_caller()
{
    std::ranges::for_each(connections_,
                          [](connection const &item) { close(item.socket); });
}

bench_caller::connection &bench_caller::idle_connection()
{
    auto const found =
        std::ranges::find(connections_, false, &connection::busy);
    if (found != connections_.end())
    {
        return *found;
    }
    return connections_.emplace_back();
}

void bench_caller::begin()
{
    auto &item = idle_connection();
    if (item.socket < 0)
    {
        item.socket = open_socket(port_);
    }
    item.busy = true;
    item.tail.clear();
    item.started = clock_now();
    ++open_;
    auto const sent =
        send(item.socket, request_.data(), request_.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(request_.size()))
    {
        fail(item);
    }
}

void bench_caller::fail(connection &item)
{
    close(std::exchange(item.socket, -1));
    item.busy = false;
    --open_;
    ++failed_;
}

bool bench_caller::receive(connection &item)
{
    std::array<char, 65536> buffer{};
    auto const count = recv(item.socket, buffer.data(), buffer.size(), 0);
    if (count <= 0)
    {
        if (count == 0 || errno != EAGAIN)
        {
            fail(item);
        }
        return false;
    }
    item.tail.append(buffer.data(), static_cast<std::size_t>(count));
    constexpr std::size_t tail_bytes = 64;
    item.tail.erase(0,
                    item.tail.size() - std::min(item.tail.size(), tail_bytes));
    if (!item.tail.ends_with(last_chunk))
    {
        return false;
    }
    latencies.push_back(clock_now() - item.started);
    item.busy = false;
    --open_;
    return true;
}

std::size_t bench_caller::read(duration wait)
{
    std::vector<pollfd> polled;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < connections_.size(); ++i)
    {
        if (connections_[i].busy)
        {
            polled.push_back({connections_[i].socket, POLLIN, 0});
            indexes.push_back(i);
        }
    }
    timespec const limit{0, std::chrono::nanoseconds(wait).count()};
    if (ppoll(polled.data(), polled.size(), &limit, nullptr) <= 0)
    {
        return 0;
    }
    std::size_t completed = 0;
    for (std::size_t i = 0; i < polled.size(); ++i)
    {
        if (polled[i].revents != 0)
        {
            completed += receive(connections_[indexes[i]]) ? 1 : 0;
        }
    }
    return completed;
}

std::size_t bench_caller::begun() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](connection const &item)
                              { return item.busy && !item.tail.empty(); }));
}

} // namespace agateledge
