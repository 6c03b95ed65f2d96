#include "fixed_reply_server.hpp"

#include <sys/socket.h>

#include <array>
#include <utility>

namespace agateledge
{

fixed_reply_server::fixed_reply_server(std::string reply, reply_ending ending)
    : reply_(std::move(reply)), ending_(ending),
      service_(g_socket_service_new())
{
    port_ = g_socket_listener_add_any_inet_port(
        G_SOCKET_LISTENER(service_.get()), nullptr, nullptr);
    g_signal_connect(
        service_.get(), "incoming",
        G_CALLBACK(+[](GSocketService *, GSocketConnection *stream, GObject *,
                       gpointer self) -> gboolean
                   {
                       static_cast<fixed_reply_server *>(self)->accept(stream);
                       return TRUE;
                   }),
        this);
}

fixed_reply_server::~fixed_reply_server()
{
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    while (g_source_remove_by_user_data(this) == TRUE)
    {
    }
}

std::string fixed_reply_server::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void fixed_reply_server::accept(GSocketConnection *stream)
{
    connections_.push_back(gobject_share(stream));
    auto *source = g_socket_create_source(
        g_socket_connection_get_socket(stream), G_IO_IN, nullptr);
    g_source_set_callback(
        source,
        G_SOURCE_FUNC(
            +[](GSocket *socket, GIOCondition, gpointer self) -> gboolean
            {
                static_cast<fixed_reply_server *>(self)->serve(socket);
                return G_SOURCE_REMOVE;
            }),
        this, nullptr);
    g_source_attach(source, nullptr);
    g_source_unref(source);
}

void fixed_reply_server::serve(GSocket *socket)
{
    std::array<char, 65536> buffer{};
    auto const count = g_socket_receive(socket, buffer.data(), buffer.size(),
                                        nullptr, nullptr);
    received.emplace_back(buffer.data(),
                          static_cast<std::size_t>(std::max<gssize>(count, 0)));
    g_socket_send(socket, reply_.data(), reply_.size(), nullptr, nullptr);
    if (ending_ == reply_ending::reset)
    {
        linger const at_once{1, 0};
        setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof(at_once));
    }
    if (ending_ != reply_ending::keep_open)
    {
        g_socket_close(socket, nullptr);
    }
}

} // namespace agateledge
