#include "http_server.hpp"

#include "http_exchange.hpp"
#include "result_code.hpp"
#include "server_message.hpp"
#include "socket_address.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace agateledge
{

namespace
{

/// Maximum size of all request bodies that are open at the same time; each is a
/// statement of an operator or a message of a peer.
constexpr std::size_t max_body_bytes = std::size_t{16} << 20;

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

struct http_server::callbacks
{
    static http_server &server_of(gpointer self)
    {
        return *static_cast<http_server *>(self);
    }

    static void started(SoupServer *, SoupServerMessage *message, gpointer self)
    {
        server_of(self).open_.emplace(message, 0);
        g_signal_connect(message, "got-chunk", G_CALLBACK(got_chunk), self);
        g_signal_connect(message, "finished", G_CALLBACK(ended), self);
        g_signal_connect(message, "disconnected", G_CALLBACK(ended), self);
    }

    static void got_chunk(SoupServerMessage *message, GBytes *chunk,
                          gpointer self)
    {
        auto &server = server_of(self);
        auto const bytes = g_bytes_get_size(chunk);
        server.open_[message] += bytes;
        server.body_bytes_ += bytes;
        server.check_memory();
    }

    static void ended(SoupServerMessage *message, gpointer self)
    {
        auto &server = server_of(self);
        auto const found = server.open_.find(message);
        if (found != server.open_.end())
        {
            server.body_bytes_ -= found->second;
            server.open_.erase(found);
        }
    }
};

http_server::http_server()
    : server_(soup_server_new("server-header", "agateledge-standin", nullptr))
{
    g_signal_connect(server_, "request-started", G_CALLBACK(callbacks::started),
                     this);
}

http_server::~http_server()
{
    std::ranges::for_each(
        open_, [this](auto const &item)
        { g_signal_handlers_disconnect_by_data(item.first, this); });
    g_signal_handlers_disconnect_by_data(server_, this);
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

void http_server::check_memory()
{
    if (body_bytes_ <= max_body_bytes)
    {
        return;
    }
    auto const largest = std::ranges::max_element(
        open_, std::less<>(), [](auto const &item) { return item.second; });
    discard_request_body(largest->first);
    body_bytes_ -= std::exchange(largest->second, 0);
    if (auto *socket = soup_server_message_get_socket(largest->first))
    {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
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
