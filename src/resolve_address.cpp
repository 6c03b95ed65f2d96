#include "resolve_address.hpp"

#include "gobject_ptr.hpp"

#include <gio/gio.h>

namespace agateledge
{

std::string resolve_address(std::string const &text)
{
    constexpr guint16 no_default_port = 0;
    auto *parsed =
        g_network_address_parse(text.c_str(), no_default_port, nullptr);
    if (parsed == nullptr)
    {
        return text;
    }
    gobject_ptr<GSocketConnectable> const target(G_SOCKET_CONNECTABLE(parsed));
    gobject_ptr<GSocketAddressEnumerator> const addresses(
        g_socket_connectable_enumerate(target.get()));
    gobject_ptr<GSocketAddress> const first(
        g_socket_address_enumerator_next(addresses.get(), nullptr, nullptr));
    if (!first)
    {
        return text;
    }
    gchar_ptr const resolved(
        g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(first.get())));
    return resolved.get();
}

} // namespace agateledge
