// Guards against the HTTP library resending a request by itself: a call that
// may have been executed must be reported as failed, not repeated.
#include "http_client.hpp"
#include "raw_client.hpp"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>

namespace
{

using namespace agateledge;

/// Server that answers the first request of a connection and closes the
/// connection on the second.
class closing_server
{
public:
    closing_server() : service_(g_socket_service_new())
    {
        port = g_socket_listener_add_any_inet_port(
            G_SOCKET_LISTENER(service_.get()), nullptr, nullptr);
        g_signal_connect(
            service_.get(), "incoming",
            G_CALLBACK(+[](GSocketService *, GSocketConnection *stream,
                           GObject *, gpointer self) -> gboolean
                       {
                           static_cast<closing_server *>(self)->accept(stream);
                           return TRUE;
                       }),
            this);
    }
    ~closing_server()
    {
        g_signal_handlers_disconnect_by_data(service_.get(), this);
        g_socket_service_stop(service_.get());
        g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
        g_source_remove_by_user_data(this);
    }
    closing_server(closing_server const &) = delete;
    closing_server &operator=(closing_server const &) = delete;

    int port = 0;
    int connections = 0;
    int requests = 0;

private:
    void accept(GSocketConnection *stream)
    {
        ++connections;
        stream_.reset(G_IO_STREAM(g_object_ref(stream)));
        auto *source = g_socket_create_source(
            g_socket_connection_get_socket(stream), G_IO_IN, nullptr);
        g_source_set_callback(
            source,
            G_SOURCE_FUNC(
                +[](GSocket *socket, GIOCondition, gpointer self) -> gboolean
                { return static_cast<closing_server *>(self)->serve(socket); }),
            this, nullptr);
        g_source_attach(source, nullptr);
        g_source_unref(source);
    }

    gboolean serve(GSocket *socket)
    {
        std::array<char, 4096> buffer{};
        auto const count = g_socket_receive(socket, buffer.data(),
                                            buffer.size(), nullptr, nullptr);
        if (count <= 0)
        {
            return G_SOURCE_REMOVE;
        }
        // The head and the body may arrive in separate reads; the body is "{}".
        if (buffer.at(static_cast<std::size_t>(count) - 1) != '}')
        {
            return G_SOURCE_CONTINUE;
        }
        if (++requests % 2 == 0)
        {
            g_socket_close(socket, nullptr);
            return G_SOURCE_REMOVE;
        }
        std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "Content-Type: text/plain\r\n\r\nok";
        g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
        return G_SOURCE_CONTINUE;
    }

    gobject_ptr<GSocketService> service_;
    gobject_ptr<GIOStream> stream_;
};

http_reply post(http_client &client, int port)
{
    std::optional<http_reply> reply;
    http_request request;
    request.method = "POST";
    request.address = "127.0.0.1:" + std::to_string(port);
    request.path = "/";
    request.body = std::make_shared<std::string const>("{}");
    request.total_timeout = seconds(2);
    client.send(request, [&reply](http_reply const &got) { reply = got; });
    run_main_context_until([&reply] { return reply.has_value(); });
    return reply.value_or(http_reply{});
}

TEST(http_resend, a_broken_kept_connection_is_reported_after_send)
{
    closing_server server;
    http_client client;
    EXPECT_EQ(post(client, server.port).outcome, http_outcome::answered);
    EXPECT_EQ(post(client, server.port).outcome,
              http_outcome::failed_after_send);
    run_main_context_until([] { return false; }, milliseconds(100));
    EXPECT_EQ(server.connections, 1);
    EXPECT_EQ(server.requests, 2);
}

TEST(http_resend, a_refused_connect_is_reported_before_send)
{
    http_client client;
    int closed_port = 0;
    {
        closing_server const server;
        closed_port = server.port;
    }
    EXPECT_EQ(post(client, closed_port).outcome,
              http_outcome::failed_before_send);
}

TEST(http_resend, an_invalid_address_is_reported_before_send)
{
    http_client client;
    EXPECT_EQ(post(client, 9999999).outcome, http_outcome::failed_before_send);
}

} // namespace
