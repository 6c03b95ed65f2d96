// Guards against slow, half-closed and disconnected callers occupying
// connections, engine streams or memory.
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

constexpr std::string_view stream_body =
    R"({"model":"manual","stream":true,"prompt":"where is hall 4?"})";

/// Keeps the engine's answer open until the test ends it.
void keep_answer_open(scripted_deployment &deployment)
{
    deployment.on_generate =
        [](SoupServerMessage *message, std::string const &, std::string const &)
    {
        soup_server_message_set_status(message, 200, nullptr);
        soup_message_headers_set_encoding(
            soup_server_message_get_response_headers(message),
            SOUP_ENCODING_CHUNKED);
        soup_server_message_pause(message);
    };
}

TEST(listener_peers, slow_request_is_cut)
{
    scripted_deployment deployment(
        [](settings &config)
        { config.limits.request_timeout = milliseconds(200); });
    raw_client client(deployment.port());
    std::string request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
    request += caller_headers;
    client.send(request + "Content-Length: 100\r\n\r\n{\"mod");
    EXPECT_TRUE(client.read_until_closed(seconds(3))) << client.received;
    EXPECT_EQ(deployment.daemon->state().totals.requests, 0U);
}

TEST(listener_peers, silent_connection_is_cut)
{
    scripted_deployment deployment(
        [](settings &config)
        { config.limits.request_timeout = milliseconds(200); });
    raw_client client(deployment.port());
    EXPECT_TRUE(client.read_until_closed(seconds(3)));
}

TEST(listener_peers, half_closed_request_is_cut)
{
    scripted_deployment deployment;
    raw_client client(deployment.port());
    client.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    client.shut_down_sending();
    EXPECT_TRUE(client.read_until_closed(seconds(3)));
    EXPECT_EQ(deployment.daemon->state().totals.requests, 0U);
}

TEST(listener_peers, departed_caller_cancels_the_stream)
{
    scripted_deployment deployment;
    keep_answer_open(deployment);
    raw_client client(deployment.port());
    client.send(make_http_request("POST", "/v1/completions", caller_headers,
                                  stream_body));
    ASSERT_TRUE(client.read_until("id: "));
    ASSERT_TRUE(run_main_context_until(
        [&deployment]
        { return deployment.request_counts["/v1/generate"] == 1; }));
    client.close();
    EXPECT_TRUE(run_main_context_until(
        [&deployment]
        { return deployment.request_counts["/v1/cancel"] == 1; }));
    EXPECT_TRUE(run_main_context_until(
        [&deployment] {
            return deployment.daemon->callers().acceptor().open_connections() ==
                   0;
        }));
    EXPECT_EQ(deployment.daemon->state().requests.size(), 0U);
}

TEST(listener_peers, departure_is_seen_before_any_answer)
{
    scripted_deployment deployment;
    keep_answer_open(deployment);
    raw_client client(deployment.port());
    client.send(make_http_request("POST", "/v1/completions", caller_headers,
                                  R"({"model":"manual","prompt":"hall 4?"})"));
    ASSERT_TRUE(run_main_context_until(
        [&deployment]
        { return deployment.request_counts["/v1/generate"] == 1; }));
    client.shut_down_sending();
    EXPECT_TRUE(run_main_context_until(
        [&deployment]
        { return deployment.request_counts["/v1/cancel"] == 1; }));
    EXPECT_TRUE(client.read_until_closed());
}

TEST(listener_peers, connection_is_kept_for_a_second_request)
{
    scripted_deployment deployment;
    raw_client client(deployment.port());
    for (int i = 0; i < 3; ++i)
    {
        client.received.clear();
        client.send(make_http_request("POST", "/v1/completions", caller_headers,
                                      stream_body));
        ASSERT_TRUE(client.read_until("[DONE]\n\n")) << client.received;
    }
    EXPECT_EQ(deployment.request_counts["/v1/generate"], 3);
    EXPECT_EQ(deployment.daemon->callers().acceptor().open_connections(), 1U);
}

} // namespace
