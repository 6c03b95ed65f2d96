// Guards against a planned stop that cuts requests of callers: each request
// that was sent gets its complete answer over its own socket.
#include "loopback_proxy.hpp"
#include "raw_client.hpp"

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
constexpr duration work_time = milliseconds(120);
constexpr duration route_timeout = seconds(5);
constexpr duration time_before_stop = milliseconds(600);
constexpr duration time_of_sending = milliseconds(2800);
constexpr duration time_to_exit = seconds(8);

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

TEST(proxy_stop_under_load, every_request_that_was_sent_is_answered)
{
    loopback_proxy daemon(route_timeout, work_time);
    run_main_context_until([] { return false; }, milliseconds(500));
    std::vector<std::unique_ptr<kept_caller>> callers;
    callers.reserve(2 * caller_count);
    for (int i = 0; i < caller_count; ++i)
    {
        callers.push_back(std::make_unique<kept_caller>(daemon.port(), i));
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
            std::make_unique<kept_caller>(daemon.port(), caller_count + i));
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
