#include "scripted_http_server.hpp"

#include <utility>

namespace agateledge
{

namespace
{

std::string body_of(SoupServerMessage *message)
{
    GBytes *bytes = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size = 0;
    auto const *data = g_bytes_get_data(bytes, &size);
    std::string text(static_cast<char const *>(data), size);
    g_bytes_unref(bytes);
    return text;
}

std::string address_of(SoupServer *server)
{
    auto *uris = soup_server_get_uris(server);
    auto const port = g_uri_get_port(static_cast<GUri *>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

scripted_http_server::scripted_http_server(handler on_request)
    : on_request_(std::move(on_request)),
      server_(soup_server_new(nullptr, nullptr))
{
    soup_server_add_handler(
        server_.get(), nullptr,
        [](SoupServer *, SoupServerMessage *message, char const *path,
           GHashTable *, gpointer self)
        {
            static_cast<scripted_http_server *>(self)->on_request_(
                message, path, body_of(message));
        },
        this, nullptr);
    soup_server_listen_local(server_.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                             nullptr);
    address_ = address_of(server_.get());
}

scripted_http_server::~scripted_http_server()
{
    stop();
}

void scripted_http_server::stop()
{
    soup_server_disconnect(server_.get());
}

void scripted_http_server::answer(SoupServerMessage *message, int status,
                                  std::string const &body)
{
    soup_server_message_set_status(message, static_cast<guint>(status),
                                   nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
}

} // namespace agateledge
