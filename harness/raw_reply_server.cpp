#include "raw_reply_server.hpp"

#include "internal_assert.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// Time after which the server's thread notices that it has to stop.
constexpr int poll_timeout_ms = 20;

/// @return size of the first complete request in `text`; 0 when there is none
std::size_t request_size(std::string const &text)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    constexpr std::string_view length_name = "Content-Length: ";
    auto const end = text.find(head_end);
    if (end == std::string::npos)
    {
        return 0;
    }
    auto size = end + head_end.size();
    auto const length = text.find(length_name);
    if (length < end)
    {
        size += std::stoul(text.substr(length + length_name.size()));
    }
    return size <= text.size() ? size : 0;
}

} // namespace

raw_reply_server::raw_reply_server(reply_hook reply)
    : reply_(std::move(reply)),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 16;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    internal_assert(bind(listener_,
                         reinterpret_cast<sockaddr const *>(&address),
                         sizeof(address)) == 0 &&
                        listen(listener_, backlog) == 0,
                    "cannot listen on a loopback port");
    thread_ = std::thread([this] { serve(); });
}

raw_reply_server::~raw_reply_server()
{
    stopping_ = true;
    thread_.join();
    close(listener_);
    std::ranges::for_each(peers_, [](peer const &item) { close(item.socket); });
}

std::string raw_reply_server::address() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(listener_, reinterpret_cast<sockaddr *>(&bound), &size);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void raw_reply_server::accept_peer()
{
    auto const socket = accept(listener_, nullptr, nullptr);
    if (socket >= 0)
    {
        ++connections_;
        peers_.push_back({socket, 0, {}});
    }
}

void raw_reply_server::answer_requests(peer &from)
{
    for (auto size = request_size(from.received); size != 0;
         size = request_size(from.received))
    {
        auto const reply = reply_(from.requests, from.received.substr(0, size));
        from.received.erase(0, size);
        ++from.requests;
        ++requests_;
        send(from.socket, reply.data(), reply.size(), MSG_NOSIGNAL);
    }
}

bool raw_reply_server::read_from(peer &from)
{
    std::array<char, 65536> buffer{};
    auto const count = recv(from.socket, buffer.data(), buffer.size(), 0);
    if (count <= 0)
    {
        close(from.socket);
        return false;
    }
    from.received.append(buffer.data(), static_cast<std::size_t>(count));
    answer_requests(from);
    return true;
}

void raw_reply_server::serve()
{
    while (!stopping_)
    {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        std::ranges::transform(peers_, std::back_inserter(polled),
                               [](peer const &item) {
                                   return pollfd{item.socket, POLLIN, 0};
                               });
        if (poll(polled.data(), polled.size(), poll_timeout_ms) <= 0)
        {
            continue;
        }
        std::erase_if(
            peers_, [&, index = std::size_t{0}](peer &item) mutable
            { return polled.at(++index).revents != 0 && !read_from(item); });
        if (polled.front().revents != 0)
        {
            accept_peer();
        }
    }
}

} // namespace agateledge
