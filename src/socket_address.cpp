#include "socket_address.hpp"

#include <charconv>

namespace agateledge
{

gobject_ptr<GSocketAddress> parse_socket_address(std::string const &text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return nullptr;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
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
        g_inet_socket_address_new_from_string(host.c_str(), port));
}

} // namespace agateledge
