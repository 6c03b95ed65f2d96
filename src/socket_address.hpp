#ifndef AGATELEDGE_SOCKET_ADDRESS_HPP
#define AGATELEDGE_SOCKET_ADDRESS_HPP

#include "gobject_ptr.hpp"

#include <gio/gio.h>

#include <string>

namespace agateledge
{

/// @param text IP address and port: "127.0.0.1:8080" or "[::1]:8080"
/// @return the address, or null when `text` is not one; port 0 is accepted, for
///         listeners that may use any port
gobject_ptr<GSocketAddress> parse_socket_address(std::string const &text);

/// @param text IP address and port, as for `parse_socket_address`
/// @return true when a peer can be reached at `text`
bool is_peer_address(std::string const &text);

} // namespace agateledge

#endif
