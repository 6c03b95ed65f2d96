// Guards against malformed, oversized or unauthenticated requests reaching an
// endpoint or ending without a specific error.
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

constexpr std::string_view completions = "/v1/completions";
constexpr std::string_view valid_body =
    R"({"model":"manual","prompt":"where is hall 4?"})";

bool contains(std::string const &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

TEST(listener_refusals, wrong_token_reaches_no_endpoint)
{
    scripted_deployment deployment;
    raw_client client(deployment.port());
    client.send(make_http_request(
        "POST", completions, "Authorization: Bearer guess\r\n", valid_body));
    ASSERT_TRUE(client.read_until("\"not_run\":true"));
    EXPECT_TRUE(contains(client.received, "HTTP/1.1 401")) << client.received;
    EXPECT_TRUE(contains(client.received, "\"code\":\"unauthenticated\""));
    EXPECT_TRUE(contains(client.received, "\"number\":101"));
    EXPECT_EQ(deployment.request_counts["/v1/generate"], 0);
    EXPECT_EQ(deployment.daemon->state().totals.requests, 0U);
}

TEST(listener_refusals, missing_token_is_refused)
{
    scripted_deployment deployment;
    raw_client client(deployment.port());
    client.send(make_http_request("POST", completions, "", valid_body));
    EXPECT_TRUE(client.read_until("unauthenticated"));
}

TEST(listener_refusals, announced_body_over_the_limit)
{
    scripted_deployment deployment([](settings &config)
                                   { config.limits.max_body_bytes = 1000; });
    auto const text = deployment.call("POST", completions, "",
                                      std::string(1001, 'x'), "not_run");
    EXPECT_TRUE(contains(text, "HTTP/1.1 413")) << text;
    EXPECT_TRUE(contains(text, "body_too_large"));
    EXPECT_EQ(deployment.daemon->state().totals.requests, 0U);
}

TEST(listener_refusals, chunked_body_over_the_limit)
{
    scripted_deployment deployment([](settings &config)
                                   { config.limits.max_body_bytes = 1000; });
    raw_client client(deployment.port());
    std::string request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
    request += caller_headers;
    request += "Transfer-Encoding: chunked\r\n\r\n";
    client.send(request);
    for (int i = 0; i < 3; ++i)
    {
        client.send("200\r\n" + std::string(512, 'x') + "\r\n");
    }
    client.send("0\r\n\r\n");
    EXPECT_TRUE(client.read_until("body_too_large")) << client.received;
}

TEST(listener_refusals, endless_body_is_cut)
{
    scripted_deployment deployment([](settings &config)
                                   { config.limits.max_body_bytes = 1000; });
    raw_client client(deployment.port());
    std::string request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
    request += caller_headers;
    request += "Transfer-Encoding: chunked\r\n\r\n";
    client.send(request);
    for (int i = 0; i < 100; ++i)
    {
        client.send("200\r\n" + std::string(512, 'x') + "\r\n");
    }
    EXPECT_TRUE(client.read_until_closed());
}

TEST(listener_refusals, headers_over_the_limit)
{
    scripted_deployment deployment([](settings &config)
                                   { config.limits.max_header_bytes = 2000; });
    auto const text = deployment.call(
        "POST", completions, "X-Long: " + std::string(3000, 'x') + "\r\n",
        valid_body, "not_run");
    EXPECT_TRUE(contains(text, "HTTP/1.1 431")) << text;
}

TEST(listener_refusals, malformed_json)
{
    scripted_deployment deployment;
    auto const text =
        deployment.call("POST", completions, "", R"({"model":)", "not_run");
    EXPECT_TRUE(contains(text, "HTTP/1.1 400")) << text;
    EXPECT_TRUE(contains(text, "\"code\":\"invalid_request\""));
}

TEST(listener_refusals, malformed_http_is_cut)
{
    scripted_deployment deployment;
    raw_client client(deployment.port());
    client.send("this is not HTTP\r\n\r\n");
    EXPECT_TRUE(client.read_until_closed()) << client.received;
    EXPECT_EQ(deployment.daemon->state().totals.requests, 0U);
}

TEST(listener_refusals, unknown_path_and_wrong_method)
{
    scripted_deployment deployment;
    EXPECT_TRUE(
        contains(deployment.call("POST", "/v1/other", "", "{}", "not_run"),
                 "HTTP/1.1 404"));
    EXPECT_TRUE(
        contains(deployment.call("PUT", completions, "", "{}", "not_run"),
                 "HTTP/1.1 405"));
}

TEST(listener_refusals, unknown_model_class_and_service)
{
    scripted_deployment deployment;
    EXPECT_TRUE(
        contains(deployment.call("POST", completions, "",
                                 R"({"model":"m","prompt":"p"})", "not_run"),
                 "unknown_model"));
    EXPECT_TRUE(contains(deployment.call("POST", completions,
                                         "Agateledge-Class: other\r\n",
                                         valid_body, "not_run"),
                         "unknown_class"));
    EXPECT_TRUE(contains(
        deployment.call("GET", "/v1/services/other/a", "", "", "not_run"),
        "unknown_service"));
}

TEST(listener_refusals, booking_without_a_key_is_not_run)
{
    scripted_deployment deployment;
    auto const text =
        deployment.call("POST", "/v1/services/desk/book", "", "{}", "not_run");
    EXPECT_TRUE(contains(text, "idempotency_key_missing")) << text;
    EXPECT_EQ(deployment.request_counts["/book"], 0);
}

TEST(listener_refusals, connections_over_the_limit_are_closed)
{
    scripted_deployment deployment([](settings &config)
                                   { config.limits.max_connections = 2; });
    raw_client first(deployment.port());
    raw_client second(deployment.port());
    raw_client third(deployment.port());
    EXPECT_TRUE(third.read_until_closed());
    EXPECT_EQ(deployment.daemon->callers().acceptor().open_connections(), 2U);
    first.close();
    EXPECT_TRUE(run_main_context_until(
        [&deployment] {
            return deployment.daemon->callers().acceptor().open_connections() ==
                   1;
        }));
}

} // namespace
