// Guards against requests that wait unseen before a busy daemon reads them, and
// are then held past the time of their route.
#include "loopback_proxy.hpp"
#include "raw_client.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr duration route_timeout = milliseconds(400);
/// Time after the route's timeout by which callers have a final answer.
constexpr duration answer_slack = milliseconds(500);

/// Makes each iteration of the default main context take this much longer.
class slow_loop
{
public:
    explicit slow_loop(duration time) : time_(time)
    {
        source_ = g_idle_add_full(
            G_PRIORITY_DEFAULT,
            [](gpointer self) -> gboolean
            {
                auto const time = static_cast<slow_loop *>(self)->time_;
                g_usleep(static_cast<gulong>(to_seconds(time) * 1e6));
                return G_SOURCE_CONTINUE;
            },
            this, nullptr);
    }
    ~slow_loop() { g_source_remove(source_); }
    slow_loop(slow_loop const &) = delete;
    slow_loop &operator=(slow_loop const &) = delete;

private:
    duration time_;
    unsigned source_;
};

bool has_final_answer(raw_client &client)
{
    client.read_available();
    return client.received.find("\r\n\r\n") != std::string::npos;
}

void send_booking(raw_client &client, int number)
{
    ASSERT_TRUE(client.send_without_iteration(
        make_http_request("POST", "/book/1",
                          "Attempt-Id: caller-" + std::to_string(number) +
                              "\r\nDeadline-Ms: 3000\r\n",
                          "{}")));
}

class saturated_loop : public testing::Test
{
protected:
    saturated_loop()
    {
        run_main_context_until([] { return false; }, milliseconds(500));
    }

    loopback_proxy daemon{route_timeout, milliseconds(20)};
};

TEST_F(saturated_loop, new_connections_do_not_wait_for_an_iteration_each)
{
    constexpr int caller_count = 80;
    std::vector<std::unique_ptr<raw_client>> callers;
    for (int i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<raw_client>(daemon.port()));
        send_booking(*callers.back(), i);
    }
    slow_loop const slow(milliseconds(20));
    run_main_context_until(
        [&callers]
        {
            return std::ranges::all_of(callers, [](auto const &caller)
                                       { return has_final_answer(*caller); });
        },
        route_timeout + answer_slack);
    EXPECT_EQ(std::ranges::count_if(callers, [](auto const &caller)
                                    { return has_final_answer(*caller); }),
              caller_count);
}

TEST_F(saturated_loop, a_request_ends_by_the_time_since_it_was_sent)
{
    raw_client caller(daemon.port());
    send_booking(caller, 1);
    constexpr duration busy_time = milliseconds(700);
    g_usleep(static_cast<gulong>(to_seconds(busy_time) * 1e6));
    run_main_context_until([&caller] { return has_final_answer(caller); },
                           route_timeout + answer_slack - busy_time);
    EXPECT_TRUE(has_final_answer(caller));
    EXPECT_EQ(daemon.calls(), 0);
}

TEST_F(saturated_loop, requests_that_are_not_admitted_are_refused_as_not_run)
{
    constexpr int caller_count = 20;
    slow_loop const slow(milliseconds(30));
    run_main_context_until([] { return false; }, seconds(3));
    std::vector<std::unique_ptr<raw_client>> callers;
    for (int i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<raw_client>(daemon.port()));
        send_booking(*callers.back(), i);
    }
    run_main_context_until(
        [&callers]
        {
            return std::ranges::all_of(callers, [](auto const &caller)
                                       { return has_final_answer(*caller); });
        },
        route_timeout + answer_slack);
    auto const refused = std::ranges::count_if(
        callers,
        [](auto const &caller)
        {
            auto const &text = caller->received;
            return text.starts_with("HTTP/1.1 503 ") &&
                   text.find("Retry-After: 0.") != std::string::npos &&
                   text.find("queue_full") != std::string::npos;
        });
    EXPECT_GE(refused, caller_count / 2);
    EXPECT_LE(daemon.calls(), caller_count - refused);
}

} // namespace
