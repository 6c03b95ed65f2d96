#include "socket_address.hpp"

#include <charconv>
#include <cstdint>
#include <optional>

namespace agateledge
{

namespace
{

/// @return the IP address in `text`, without the brackets that an IPv6 address
///         must have; nothing when they are missing or misplaced
std::optional<std::string> host_of(std::string const &text)
{
    bool const bracketed = text.starts_with('[') && text.ends_with(']');
    bool const has_colon = text.find(':') != std::string::npos;
    // The address functions of GLib read only up to a zero byte.
    if (bracketed != has_colon || text.find('\0') != std::string::npos)
    {
        return std::nullopt;
    }
    return bracketed ? text.substr(1, text.size() - 2) : text;
}

} // namespace

gobject_ptr<GSocketAddress> parse_socket_address(std::string const &text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return nullptr;
    }
    auto const host = host_of(text.substr(0, colon));
    if (!host)
    {
        return nullptr;
    }
    std::uint16_t port = 0;
    auto const end = text.data() + text.size();
    auto const [stop, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || stop != end)
    {
        return nullptr;
    }
    return gobject_ptr<GSocketAddress>(
        g_inet_socket_address_new_from_string(host->c_str(), port));
}

bool is_peer_address(std::string const &text)
{
    auto const address = parse_socket_address(text);
    return address && g_inet_socket_address_get_port(
                          G_INET_SOCKET_ADDRESS(address.get())) != 0;
}

} // namespace agateledge
