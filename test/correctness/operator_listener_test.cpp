// Guards against an operators' listener that accepts a statement without a
// valid token, or that does not return the result of the statement.
#include "caller_directory.hpp"
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "operator_listener.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <glib.h>

#include <optional>

namespace
{

using namespace agateledge;

constexpr gint64 reply_timeout_us = 5'000'000;

class operator_listener_test : public testing::Test
{
protected:
    operator_listener_test()
        : state({"daemon-0", incarnation_number(1), "rennes-a", ""}, 1),
          loop(state), listener(state, loop, {{"maelle", sha256_of("secret")}})
    {
        loop.handlers.reply_to_operator = [this](operator_reply const &answer)
        { listener.reply(answer); };
        EXPECT_TRUE(listener.start("127.0.0.1:0").ok());
    }

    http_reply send(http_request request)
    {
        request.address = listener.address();
        std::optional<http_reply> received;
        client.send(request,
                    [&received](http_reply const &reply) { received = reply; });
        auto const end = g_get_monotonic_time() + reply_timeout_us;
        while (!received && g_get_monotonic_time() < end)
        {
            g_main_context_iteration(nullptr, FALSE);
        }
        return received.value_or(http_reply{});
    }

    http_reply post(std::string const &token, std::string body)
    {
        http_request request;
        request.method = "POST";
        request.path = "/v1/statements";
        request.headers = {{"Authorization", "Bearer " + token}};
        request.body = std::make_shared<std::string const>(std::move(body));
        return send(request);
    }

    world state;
    daemon_loop loop;
    operator_listener listener;
    http_client client;
};

TEST_F(operator_listener_test, answers_only_operators)
{
    auto const body = R"({"text":"show services"})";
    EXPECT_EQ(post("guess", body).status, 401);
    auto const answer = post("secret", body);
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(answer.body.find("\"columns\""), std::string::npos);
    EXPECT_EQ(post("secret", R"({"text":"shew"})").status, 400);
    EXPECT_EQ(post("secret", "[]").status, 400);
}

TEST_F(operator_listener_test, health_follows_the_drain)
{
    http_request request;
    request.path = "/healthz";
    EXPECT_EQ(send(request).status, 200);
    state.draining = true;
    EXPECT_EQ(send(request).status, 503);
    request.path = "/metrics";
    EXPECT_NE(send(request).body.find("agateledge_draining 1"),
              std::string::npos);
}

} // namespace
