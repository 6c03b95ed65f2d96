#include "datagram_socket.hpp"

#include "result_code.hpp"
#include "socket_address.hpp"

namespace agateledge
{

namespace
{

/// Maximum number of datagrams read per callback, so that other event sources
/// are not starved.
constexpr int max_datagrams_per_callback = 64;

absl::Status open_error(std::string const &address, std::string const &text)
{
    return make_status(result_code::settings_invalid,
                       "cannot receive datagrams on " + address + ": " + text);
}

} // namespace

datagram_socket::~datagram_socket()
{
    if (source_ != nullptr)
    {
        g_source_destroy(source_);
        g_source_unref(source_);
    }
}

absl::Status datagram_socket::open(std::string const &address)
{
    auto const local = parse_socket_address(address);
    if (!local)
    {
        return open_error(address, "not an IP address and port");
    }
    GError *error = nullptr;
    socket_.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                               G_SOCKET_PROTOCOL_UDP, &error));
    if (socket_)
    {
        g_socket_set_blocking(socket_.get(), FALSE);
        g_socket_bind(socket_.get(), local.get(), TRUE, &error);
    }
    gerror_ptr const failure(error);
    if (failure)
    {
        socket_.reset();
        return open_error(address, failure->message);
    }
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    GSocketSourceFunc const ready = [](GSocket *, GIOCondition,
                                       gpointer self) -> gboolean
    { return static_cast<datagram_socket *>(self)->receive(); };
    g_source_set_callback(source_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(source_, nullptr);
    return absl::OkStatus();
}

gboolean datagram_socket::receive()
{
    for (int i = 0; i < max_datagrams_per_callback; ++i)
    {
        auto const count = g_socket_receive(socket_.get(), buffer_.data(),
                                            buffer_.size(), nullptr, nullptr);
        if (count < 0)
        {
            break;
        }
        if (on_datagram)
        {
            on_datagram({buffer_.data(), static_cast<std::size_t>(count)});
        }
    }
    return G_SOURCE_CONTINUE;
}

bool datagram_socket::send(std::string const &address, std::string_view bytes)
{
    auto const peer = parse_socket_address(address);
    return socket_ && peer &&
           g_socket_send_to(socket_.get(), peer.get(), bytes.data(),
                            bytes.size(), nullptr, nullptr) >= 0;
}

} // namespace agateledge
