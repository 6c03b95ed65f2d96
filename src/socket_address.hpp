#ifndef AGATELEDGE_SOCKET_ADDRESS_HPP
#define AGATELEDGE_SOCKET_ADDRESS_HPP

#include "gobject_ptr.hpp"

#include <gio/gio.h>

#include <string>

namespace agateledge
{

/// @param text IP address and port: "127.0.0.1:8080" or "[::1]:8080"
/// @return the address, or null when `text` is not one
gobject_ptr<GSocketAddress> parse_socket_address(std::string const &text);

} // namespace agateledge

#endif
