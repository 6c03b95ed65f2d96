#include "http_server.hpp"

#include "http_exchange.hpp"
#include "result_code.hpp"
#include "socket_address.hpp"

#include <utility>

namespace agateledge
{

namespace
{

void serve_message(SoupServer * /*server*/, SoupServerMessage *message,
                   char const * /*path*/, GHashTable *query, gpointer data)
{
    auto const &serve = *static_cast<http_server::handler *>(data);
    serve(std::make_shared<http_exchange>(message, query));
}

void delete_handler(gpointer data)
{
    delete static_cast<http_server::handler *>(data);
}

} // namespace

http_server::http_server()
    : server_(soup_server_new("server-header", "agateledge-standin", nullptr))
{
}

http_server::~http_server()
{
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

void http_server::add(char const *path, handler serve)
{
    soup_server_add_handler(server_, path, serve_message,
                            new handler(std::move(serve)), delete_handler);
}

absl::Status http_server::listen(std::string const &address)
{
    auto const socket_address = parse_socket_address(address);
    if (!socket_address)
    {
        return make_status(result_code::settings_invalid,
                           "\"" + address + "\" is not IP:port");
    }
    GError *error = nullptr;
    soup_server_listen(server_, socket_address.get(),
                       static_cast<SoupServerListenOptions>(0), &error);
    if (error != nullptr)
    {
        auto status =
            make_status(result_code::settings_invalid,
                        "cannot listen on " + address + ": " + error->message);
        g_error_free(error);
        return status;
    }
    return absl::OkStatus();
}

std::string http_server::address() const
{
    auto *uris = soup_server_get_uris(server_);
    std::string address;
    if (uris != nullptr)
    {
        auto *uri = static_cast<GUri *>(uris->data);
        address = std::string(g_uri_get_host(uri)) + ":" +
                  std::to_string(g_uri_get_port(uri));
    }
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return address;
}

} // namespace agateledge
