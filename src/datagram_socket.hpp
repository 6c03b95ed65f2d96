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

/// UDP socket on the default GLib main context. Delivery is not guaranteed.
class datagram_socket
{
public:
    datagram_socket() = default;
    ~datagram_socket();
    datagram_socket(datagram_socket const &) = delete;
    datagram_socket &operator=(datagram_socket const &) = delete;

    /// Binds the socket and starts receiving.
    ///
    /// @param address local IP address and port
    /// @return `settings_invalid` when the address cannot be bound
    absl::Status open(std::string const &address);

    /// Sends a datagram; it is dropped when the socket's buffer is full.
    ///
    /// @param address IP address and port
    /// @return false when the datagram was not sent
    bool send(std::string const &address, std::string_view bytes);

    /// Called for each received datagram.
    std::function<void(std::string_view bytes)> on_datagram;

private:
    /// Upper bound of the size of a UDP datagram.
    static constexpr std::size_t max_datagram_bytes = 65536;

    gboolean receive();

    gobject_ptr<GSocket> socket_;
    GSource *source_ = nullptr;
    std::array<char, max_datagram_bytes> buffer_{};
};

} // namespace agateledge

#endif
