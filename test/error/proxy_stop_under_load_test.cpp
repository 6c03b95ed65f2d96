// Guards against a planned stop that cuts requests of callers: each request
// that was sent gets its complete answer over its own socket.
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "proxy_process.hpp"
#include "raw_client.hpp"
#include "scripted_http_server.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int caller_count = 24;
/// Time that the endpoint takes for one request.
constexpr guint work_ms = 120;
constexpr duration time_before_stop = milliseconds(600);
constexpr duration time_of_sending = milliseconds(2800);
constexpr duration time_to_exit = seconds(8);

constexpr char const *configuration =
    R"({"version":1,"routes":[{"name":"book","host":"localhost",)"
    R"("prefix":"/book/","route_type":"non_idempotent","service":"desk",)"
    R"("timeout_ms":5000,"target_latency_ms":1000}],)"
    R"("services":[{"name":"desk"}]})";

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

/// Answers `message` with 200 and `body` after `delay_ms`.
void answer_later(SoupServerMessage *message, guint delay_ms,
                  std::string const &body)
{
    struct pending
    {
        gobject_ptr<SoupServerMessage> message;
        std::string body;
    };
    soup_server_message_pause(message);
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, delay_ms,
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

/// Caller that keeps its connection and sends one request after the other until
/// it is told to close.
class kept_caller
{
public:
    kept_caller(int port, int number)
        : client_(port), id_("caller-" + std::to_string(number))
    {
    }

    void step(bool may_send)
    {
        client_.read_available();
        if (may_send && waiting() == 0 && !told_to_close())
        {
            ++sent;
            client_.send(make_http_request("POST", "/book/1",
                                           "Attempt-Id: " + id_ + "-" +
                                               std::to_string(sent) +
                                               "\r\nDeadline-Ms: 4000\r\n",
                                           "{}"));
        }
    }

    /// @return requests without a complete answer
    int waiting() const
    {
        int answered = 0;
        for (auto place = client_.received.find("seat of " + id_);
             place != std::string::npos;
             place = client_.received.find("seat of " + id_, place + 1))
        {
            ++answered;
        }
        return sent - answered;
    }

    std::string const &received() const { return client_.received; }

    int sent = 0;

private:
    bool told_to_close() const
    {
        return client_.closed ||
               client_.received.find("Connection: close") != std::string::npos;
    }

    raw_client client_;
    std::string id_;
};

/// A store, an endpoint and a daemon behind the platform, on loopback ports.
class stopping_daemon
{
public:
    stopping_daemon()
        : port(unused_port()),
          desk_([](SoupServerMessage *message, std::string const &,
                   std::string const &) { serve_desk(message); }),
          store_([this](SoupServerMessage *message, std::string const &path,
                        std::string const &) { serve_store(message, path); })
    {
        process_ = std::make_unique<proxy_process>(settings_of(), "",
                                                   platform::make_codec(),
                                                   incarnation_number(1), 1);
        process_->on_stopped = [this] { stopped_ = true; };
        auto const status = process_->start();
        EXPECT_TRUE(status.ok()) << status;
    }

    void shut_down() { process_->shut_down(); }

    /// Ends the process, and with it all its connections, once it has stopped.
    ///
    /// @return true when the process has ended
    bool end_if_stopped()
    {
        if (stopped_)
        {
            process_.reset();
        }
        return !process_;
    }

    int port;

private:
    proxy_settings settings_of() const
    {
        proxy_settings out;
        out.name = "edge-1";
        out.data_centre = "z";
        out.caller_address = "127.0.0.1:" + std::to_string(port);
        out.readiness_address = "127.0.0.1:0";
        out.metrics_address = "127.0.0.1:0";
        out.store_address = store_.address();
        return out;
    }

    static void serve_desk(SoupServerMessage *message)
    {
        auto const *id = soup_message_headers_get_one(
            soup_server_message_get_request_headers(message), "Attempt-Id");
        auto *headers = soup_server_message_get_response_headers(message);
        soup_message_headers_append(headers, "Attempt-Id", id);
        soup_message_headers_append(headers, "Server-Signature", "s");
        answer_later(message, work_ms, "seat of " + std::string(id));
    }

    void serve_store(SoupServerMessage *message, std::string const &path)
    {
        constexpr guint hold_ms = 100;
        std::string const query =
            path == "/v1/rows-get"
                ? g_uri_get_query(soup_server_message_get_uri(message))
                : "";
        if (query.starts_with("table=op&"))
        {
            scripted_http_server::answer(message, 200,
                                         page_of("config", configuration));
            return;
        }
        if (query.starts_with("table=servers&"))
        {
            scripted_http_server::answer(
                message, 200, page_of("desk-1", entry_of(desk_.address())));
            return;
        }
        answer_later(message, hold_ms, R"({"rows":[],"row_version":1})");
    }

    scripted_http_server desk_;
    scripted_http_server store_;
    std::unique_ptr<proxy_process> process_;
    bool stopped_ = false;
};

TEST(proxy_stop_under_load, every_request_that_was_sent_is_answered)
{
    stopping_daemon daemon;
    run_main_context_until([] { return false; }, milliseconds(500));
    std::vector<std::unique_ptr<kept_caller>> callers;
    callers.reserve(2 * caller_count);
    for (int i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<kept_caller>(daemon.port, i));
    }
    auto const step = [&callers, &daemon](bool may_send)
    {
        std::ranges::for_each(callers, [may_send](auto const &caller)
                              { caller->step(may_send); });
        return daemon.end_if_stopped();
    };
    run_main_context_until([&step] { return step(true); }, time_before_stop);
    daemon.shut_down();
    // New connections, which the balancer still opens, and kept ones.
    for (int i = 0; i < caller_count; ++i)
    {
        callers.push_back(
            std::make_unique<kept_caller>(daemon.port, caller_count + i));
    }
    run_main_context_until([&step] { return step(true); }, time_of_sending);
    EXPECT_TRUE(
        run_main_context_until([&step] { return step(false); }, time_to_exit));
    for (auto const &caller : callers)
    {
        EXPECT_GT(caller->sent, 0);
        EXPECT_EQ(caller->waiting(), 0) << caller->received();
    }
}

} // namespace
