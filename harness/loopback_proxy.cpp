#include "loopback_proxy.hpp"

#include "internal_assert.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "proxy_process.hpp"

#include <glib.h>

#include <chrono>

namespace agateledge
{

namespace
{

/// Time for which the store holds a read without changes.
constexpr duration read_hold_time = milliseconds(100);

std::string configuration_of(duration route_timeout)
{
    auto const timeout =
        std::chrono::duration_cast<milliseconds>(route_timeout).count();
    return R"({"version":1,"routes":[{"name":"book","host":"localhost",)"
           R"("prefix":"/book/","route_type":"non_idempotent",)"
           R"("service":"desk","timeout_ms":)" +
           std::to_string(timeout) +
           R"(,"target_latency_ms":1000}],"services":[{"name":"desk"}]})";
}

std::string entry_of(std::string const &address)
{
    return R"({"service":"desk","address":")" + address +
           R"(","zone":"z","version":"v1","slots":64,"state":"ready",)" +
           R"("cold_remaining_ms":0,"sequence":1})";
}

std::string to_base64(std::string const &text)
{
    gchar *encoded = g_base64_encode(
        reinterpret_cast<guchar const *>(text.data()), text.size());
    std::string out(encoded);
    g_free(encoded);
    return out;
}

std::string page_of(std::string const &key, std::string const &value)
{
    return R"({"rows":[{"key":")" + key + R"(","row_version":1,"value":")" +
           to_base64(value) + R"("}],"truncated":false,"row_version":1})";
}

/// Answers `message` with 200 and `body` after `delay`.
void answer_later(SoupServerMessage *message, duration delay,
                  std::string const &body)
{
    struct pending
    {
        gobject_ptr<SoupServerMessage> message;
        std::string body;
    };
    soup_server_message_pause(message);
    g_timeout_add_full(
        G_PRIORITY_DEFAULT,
        static_cast<guint>(
            std::chrono::duration_cast<milliseconds>(delay).count()),
        [](gpointer data) -> gboolean
        {
            auto const &item = *static_cast<pending *>(data);
            scripted_http_server::answer(item.message.get(), 200, item.body);
            soup_server_message_unpause(item.message.get());
            return G_SOURCE_REMOVE;
        },
        new pending{gobject_share(message), body},
        [](gpointer data) { delete static_cast<pending *>(data); });
}

int unused_port()
{
    auto *listener = g_socket_listener_new();
    auto const port =
        g_socket_listener_add_any_inet_port(listener, nullptr, nullptr);
    g_socket_listener_close(listener);
    g_object_unref(listener);
    return port;
}

} // namespace

loopback_proxy::loopback_proxy(duration route_timeout, duration work_time)
    : route_timeout_(route_timeout), work_time_(work_time),
      endpoint_([this](SoupServerMessage *message, std::string const &,
                       std::string const &) { serve_endpoint(message); }),
      store_([this](SoupServerMessage *message, std::string const &path,
                    std::string const &) { serve_store(message, path); }),
      port_(unused_port())
{
    process_ = std::make_unique<proxy_process>(
        settings(), "", platform::make_codec(), incarnation_number(1), 1);
    process_->on_stopped = [this] { stopped_ = true; };
    auto const status = process_->start();
    internal_assert(status.ok(), "the daemon does not start: ",
                    std::string(status.message()));
}

loopback_proxy::~loopback_proxy() = default;

void loopback_proxy::shut_down()
{
    process_->shut_down();
}

bool loopback_proxy::end_if_stopped()
{
    if (stopped_)
    {
        process_.reset();
    }
    return !process_;
}

proxy_settings loopback_proxy::settings() const
{
    proxy_settings out;
    out.name = "edge-1";
    out.data_centre = "z";
    out.caller_address = "127.0.0.1:" + std::to_string(port_);
    out.readiness_address = "127.0.0.1:0";
    out.metrics_address = "127.0.0.1:0";
    out.store_address = store_.address();
    return out;
}

void loopback_proxy::serve_endpoint(SoupServerMessage *message)
{
    ++calls_;
    auto const *id = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Attempt-Id");
    auto *headers = soup_server_message_get_response_headers(message);
    soup_message_headers_append(headers, "Attempt-Id", id);
    soup_message_headers_append(headers, "Server-Signature", "s");
    answer_later(message, work_time_, "seat of " + std::string(id));
}

void loopback_proxy::serve_store(SoupServerMessage *message,
                                 std::string const &path) const
{
    std::string const query =
        path == "/v1/rows-get"
            ? g_uri_get_query(soup_server_message_get_uri(message))
            : "";
    if (query.starts_with("table=op&"))
    {
        scripted_http_server::answer(
            message, 200, page_of("config", configuration_of(route_timeout_)));
        return;
    }
    if (query.starts_with("table=servers&"))
    {
        scripted_http_server::answer(
            message, 200, page_of("desk-1", entry_of(endpoint_.address())));
        return;
    }
    answer_later(message, read_hold_time, R"({"rows":[],"row_version":1})");
}

} // namespace agateledge
