#include "fixed_reply_server.hpp"

#include "internal_assert.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace agateledge
{

namespace
{

/// Bytes per send call of an endless reply.
constexpr std::size_t block_bytes = 65536;
/// Size at which an endless reply ends, so that a caller that reads all of it
/// fails its test instead of blocking it.
constexpr std::size_t max_endless_bytes = std::size_t{256} << 20;

sockaddr_in loopback()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

fixed_reply_server::fixed_reply_server(std::string reply,
                                       connection_ending ending,
                                       std::size_t repeated_bytes)
    : reply_(std::move(reply)), ending_(ending),
      repeated_bytes_(repeated_bytes),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto const address = loopback();
    internal_assert(bind(listener_,
                         reinterpret_cast<sockaddr const *>(&address),
                         sizeof(address)) == 0 &&
                        listen(listener_, 1) == 0,
                    "cannot listen on a loopback port");
    thread_ = std::thread([this] { serve(); });
}

fixed_reply_server::~fixed_reply_server()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    if (connection_ >= 0)
    {
        close(connection_);
    }
}

std::string fixed_reply_server::address() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(listener_, reinterpret_cast<sockaddr *>(&bound), &size);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void fixed_reply_server::send_endless_reply()
{
    auto const tail = reply_.substr(reply_.size() - repeated_bytes_);
    std::string filler;
    while (filler.size() < block_bytes)
    {
        filler += tail;
    }
    timeval const send_timeout{0, 100'000};
    setsockopt(connection_, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
               sizeof(send_timeout));
    while (!stopping_ && bytes_sent_ < max_endless_bytes)
    {
        // A partial send is continued, so that the repeated bytes stay whole.
        auto const begin = bytes_sent_ % filler.size();
        auto const sent = send(connection_, filler.data() + begin,
                               filler.size() - begin, MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            closed_by_caller_ = true;
            return;
        }
        bytes_sent_ += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }
}

void fixed_reply_server::serve()
{
    connection_ = accept(listener_, nullptr, nullptr);
    if (connection_ < 0)
    {
        return;
    }
    std::array<char, 65536> request{};
    if (recv(connection_, request.data(), request.size(), 0) <= 0)
    {
        return;
    }
    send(connection_, reply_.data(), reply_.size(), MSG_NOSIGNAL);
    if (ending_ == connection_ending::endless)
    {
        send_endless_reply();
        return;
    }
    if (ending_ == connection_ending::reset)
    {
        linger const reset_on_close{1, 0};
        setsockopt(connection_, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof(reset_on_close));
    }
    if (ending_ != connection_ending::keep_open)
    {
        close(std::exchange(connection_, -1));
    }
}

} // namespace agateledge
