#ifndef AGATELEDGE_DATAGRAM_SOCKET_HPP
#define AGATELEDGE_DATAGRAM_SOCKET_HPP

#include "gobject_ptr.hpp"

#include <absl/status/status.h>
#include <gio/gio.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// UDP socket on the default GLib main context. Datagrams may be lost.
class datagram_socket
{
public:
    datagram_socket() = default;
    ~datagram_socket();
    datagram_socket(datagram_socket const &) = delete;
    datagram_socket &operator=(datagram_socket const &) = delete;

    /// Begins to receive.
    ///
    /// @param address own IP address and port
    /// @return `settings_invalid` when the address cannot be bound
    absl::Status open(std::string const &address);

    /// Sends a datagram; it is dropped when the socket's buffer is full.
    ///
    /// @param address IP address and port
    /// @return false when the datagram was not sent
    bool send(std::string const &address, std::string_view bytes);

    /// Runs for each datagram that arrives.
    std::function<void(std::string_view bytes)> on_datagram;

private:
    /// Largest UDP datagram.
    static constexpr std::size_t most_bytes = 65536;

    gboolean receive();

    gobject_ptr<GSocket> socket_;
    GSource *source_ = nullptr;
    std::array<char, most_bytes> buffer_{};
};

} // namespace agateledge

#endif
