// Guards against callers that send bodies without end: what a daemon holds of
// all requests together must fit into the memory of its host.
#include "http_exchange.hpp"
#include "http_server.hpp"
#include "loopback_proxy.hpp"
#include "memory_in_use.hpp"
#include "raw_client.hpp"
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

/// A quarter of the memory of the smallest host, 260 MB.
constexpr std::size_t held_bytes = std::size_t{65} << 20;

std::string chunk_of(std::size_t bytes)
{
    std::string const data(bytes, 'x');
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + data + "\r\n";
}

/// Callers that send a large part of a chunked body and no end of it.
class unfinished_callers
{
public:
    unfinished_callers(int port, std::string const &head)
    {
        constexpr int caller_count = 240;
        auto const part = head + "Transfer-Encoding: chunked\r\n\r\n" +
                          chunk_of(std::size_t{900} << 10);
        auto const before = memory_in_use();
        callers_.reserve(caller_count);
        for (int i = 0; i < caller_count; ++i)
        {
            callers_.push_back(std::make_unique<raw_client>(port));
            callers_.back()->send(part);
            run_main_context_until([] { return false; }, milliseconds(2));
            auto const now = std::max(memory_in_use(), before);
            most_bytes = std::max(most_bytes, now - before);
        }
    }

    /// Ends all bodies.
    ///
    /// @return true when at least `count` answers refuse the request as not run
    bool are_refused(std::ptrdiff_t count)
    {
        std::ranges::for_each(callers_,
                              [](auto &caller) { caller->send("0\r\n\r\n"); });
        return run_main_context_until([this, count]
                                      { return refusals() >= count; });
    }

    std::size_t most_bytes = 0;

private:
    std::ptrdiff_t refusals()
    {
        return std::ranges::count_if(
            callers_,
            [](auto &caller)
            {
                caller->read_available();
                auto const &text = caller->received;
                return text.starts_with("HTTP/1.1 503 ") &&
                       text.find("queue_full") != std::string::npos;
            });
    }

    std::vector<std::unique_ptr<raw_client>> callers_;
};

TEST(held_requests, unfinished_bodies_of_all_callers_are_bounded)
{
    loopback_proxy daemon(seconds(1), milliseconds(1));
    run_main_context_until([] { return false; }, milliseconds(500));
    unfinished_callers callers(daemon.port(),
                               "POST /book/1 HTTP/1.1\r\nHost: localhost\r\n"
                               "Attempt-Id: a\r\n");
    EXPECT_LE(callers.most_bytes, held_bytes);
    raw_client sound(daemon.port());
    sound.send(make_http_request(
        "POST", "/book/1", "Attempt-Id: b\r\nDeadline-Ms: 1000\r\n", "{}"));
    EXPECT_TRUE(sound.read_until("seat of b")) << sound.received;
    EXPECT_EQ(daemon.calls(), 1);
    EXPECT_TRUE(callers.are_refused(100));
}

TEST(held_requests, a_body_that_stopped_gives_way_to_one_that_goes_on)
{
    constexpr std::size_t part_bytes = std::size_t{500} << 10;
    constexpr int stopped_count = 70;
    constexpr int sound_parts = 6;
    loopback_proxy daemon(seconds(30), milliseconds(1));
    run_main_context_until([] { return false; }, milliseconds(500));
    auto const head = [](std::string const &attempt)
    {
        return "POST /book/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: " +
               attempt + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    };
    std::vector<std::unique_ptr<raw_client>> stopped;
    for (int i = 0; i < stopped_count; ++i)
    {
        stopped.push_back(std::make_unique<raw_client>(daemon.port()));
        stopped.back()->send(head("a") + chunk_of(part_bytes));
    }
    run_main_context_until([] { return false; }, seconds(1));
    raw_client sound(daemon.port());
    sound.send(head("b"));
    for (int i = 0; i < sound_parts; ++i)
    {
        sound.send(chunk_of(part_bytes));
        run_main_context_until([] { return false; }, milliseconds(5));
    }
    sound.send("0\r\n\r\n");
    EXPECT_TRUE(sound.read_until("seat of b")) << sound.received;
}

TEST(held_requests, they_are_bounded_at_the_own_interface)
{
    scripted_deployment deployment;
    unfinished_callers callers(
        deployment.port(),
        "POST /v1/services/desk/bookings HTTP/1.1\r\nHost: localhost\r\n"
        "Idempotency-Key: unfinished\r\n" +
            std::string(caller_headers));
    EXPECT_LE(callers.most_bytes, held_bytes);
    auto const answer =
        deployment.call("POST", "/v1/services/desk/bookings",
                        "Idempotency-Key: sound\r\n", "{}", "12");
    EXPECT_TRUE(answer.find("seat") != std::string::npos) << answer;
    EXPECT_EQ(deployment.request_counts["/bookings"], 1);
    EXPECT_TRUE(callers.are_refused(100));
}

TEST(held_requests, they_are_bounded_at_internal_listeners)
{
    http_server server;
    server.add("/statements", [](std::shared_ptr<http_exchange> const &request)
               { request->reply(200, "{}"); });
    ASSERT_TRUE(server.listen("127.0.0.1:0").ok());
    auto const address = server.address();
    auto const port = std::stoi(address.substr(address.rfind(':') + 1));
    unfinished_callers const callers(
        port, "POST /statements HTTP/1.1\r\nHost: localhost\r\n");
    EXPECT_LE(callers.most_bytes, held_bytes);
    raw_client sound(port);
    sound.send(make_http_request("POST", "/statements", "", "{}"));
    EXPECT_TRUE(sound.read_until("HTTP/1.1 200")) << sound.received;
}

} // namespace
