// Guards against faulty servers that send bodies without end: what a daemon
// holds of all replies together must fit into the memory of its host.
#include "fixed_reply_server.hpp"
#include "http_client.hpp"
#include "memory_in_use.hpp"
#include "proxy_fixture.hpp"
#include "raw_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

/// Memory of the smallest host, and the part of it for replies that are held
/// until they are complete.
constexpr std::size_t host_bytes = std::size_t{260} << 20;
constexpr std::size_t held_bytes = host_bytes / 4;

http_request request_to(std::string const &address)
{
    http_request request;
    request.address = address;
    request.path = "/";
    request.total_timeout = seconds(4);
    request.new_connection = true;
    return request;
}

TEST(held_replies, endless_replies_together_are_bounded)
{
    constexpr int server_count = 24;
    for (std::string const head :
         {"HTTP/1.1 200 OK\r\n\r\nx",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "ffffffff\r\nx",
          "HTTP/1.1 500 Error\r\n\r\nx"})
    {
        std::vector<std::unique_ptr<fixed_reply_server>> servers;
        servers.reserve(server_count);
        http_client client(connection_reuse::single_call);
        std::vector<http_reply> replies;
        auto const before = memory_in_use();
        for (int i = 0; i < server_count; ++i)
        {
            servers.push_back(std::make_unique<fixed_reply_server>(
                head, connection_ending::endless));
            client.send(request_to(servers.back()->address()),
                        [&replies](http_reply const &reply) {
                            replies.push_back({reply.outcome, reply.status});
                        });
        }
        std::size_t most = before;
        run_main_context_until(
            [&replies, &most]
            {
                most = std::max(most, memory_in_use());
                return replies.size() == server_count;
            },
            seconds(6));
        EXPECT_EQ(replies.size(), server_count);
        EXPECT_TRUE(std::ranges::all_of(
            replies, [](http_reply const &reply)
            { return reply.outcome == http_outcome::failed_after_send; }));
        EXPECT_LE(most - before, held_bytes) << head;
    }
}

TEST(held_replies, a_large_reply_beside_endless_ones_is_answered)
{
    std::vector<std::unique_ptr<fixed_reply_server>> servers;
    http_client client(connection_reuse::single_call);
    std::size_t ended = 0;
    constexpr int server_count = 12;
    servers.reserve(server_count);
    for (int i = 0; i < server_count; ++i)
    {
        servers.push_back(std::make_unique<fixed_reply_server>(
            "HTTP/1.1 200 OK\r\n\r\nx", connection_ending::endless));
    }
    std::string const body(std::size_t{2} << 20, 'b');
    fixed_reply_server const sound(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body,
        connection_ending::keep_open);
    http_reply answer;
    client.send(request_to(sound.address()),
                [&](http_reply const &reply)
                {
                    answer = reply;
                    ++ended;
                });
    std::ranges::for_each(servers,
                          [&](auto const &server)
                          {
                              client.send(request_to(server->address()),
                                          [&ended](http_reply const &)
                                          { ++ended; });
                          });
    run_main_context_until([&ended] { return ended == server_count + 1; },
                           seconds(6));
    EXPECT_EQ(answer.outcome, http_outcome::answered);
    EXPECT_EQ(answer.body.size(), body.size());
}

/// One daemon behind the platform whose endpoint 1 answers without end.
class held_answers : public testing::Test
{
protected:
    held_answers() { daemon.list_endpoints(4); }

    /// Sends requests and begins the answers of endpoint `desk-1`.
    ///
    /// @return calls to the other endpoints
    std::vector<proxy_call> begin(std::string const &path, int requests,
                                  int status)
    {
        std::vector<proxy_call> sound;
        for (int i = 0; i < requests; ++i)
        {
            daemon.send(path);
            auto const out = daemon.tick_now();
            std::ranges::for_each(out.proxy_calls,
                                  [&](proxy_call const &call)
                                  {
                                      reply_head(call.attempt, status);
                                      if (call.instance == "desk-1")
                                      {
                                          endless.push_back(call.attempt);
                                      }
                                      else
                                      {
                                          sound.push_back(call);
                                      }
                                  });
        }
        return sound;
    }

    void reply_head(attempt_number attempt, int status)
    {
        proxy_reply_head head;
        head.status = status;
        head.framing = body_framing::connection;
        head.is_signed = true;
        daemon.reply_head(attempt, head);
    }

    /// Supplies one piece of each endless answer.
    outbox continue_endless()
    {
        std::ranges::for_each(
            endless, [this](attempt_number attempt)
            { daemon.reply_bytes(attempt, std::string(65536, 'x')); });
        return daemon.tick_now();
    }

    /// @return memory of the answers that are not complete
    std::size_t held() const
    {
        auto const &requests = daemon.state.proxy.requests.all();
        return std::accumulate(requests.begin(), requests.end(), std::size_t{0},
                               [](std::size_t sum, auto const &item)
                               { return sum + item.second.body.capacity(); });
    }

    proxy_fixture daemon;
    std::vector<attempt_number> endless;
};

constexpr int pieces = 200;

TEST_F(held_answers, endless_answers_of_an_endpoint_are_bounded_together)
{
    begin("/book/1", 96, 200);
    ASSERT_GE(endless.size(), 20U);
    std::size_t most = 0;
    for (int i = 0; i < pieces; ++i)
    {
        continue_endless();
        most = std::max(most, held());
    }
    EXPECT_LE(most, held_bytes);
}

TEST_F(held_answers, an_error_body_is_bounded)
{
    begin("/book/1", 4, 500);
    ASSERT_EQ(endless.size(), 1U);
    std::size_t most = 0;
    std::vector<proxy_answer> answers;
    for (int i = 0; i < pieces; ++i)
    {
        auto const out = continue_endless();
        answers.insert(answers.end(), out.proxy_answers.begin(),
                       out.proxy_answers.end());
        most = std::max(most, held());
    }
    constexpr std::size_t max_error_bytes = std::size_t{1} << 20;
    EXPECT_LE(most, max_error_bytes);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().kind, proxy_answer_kind::refused);
    EXPECT_EQ(answers.front().status, 502);
}

TEST_F(held_answers, a_sound_answer_beside_endless_ones_is_forwarded)
{
    auto const sound = begin("/book/1", 96, 200);
    ASSERT_FALSE(sound.empty());
    auto const &call = sound.front();
    std::string const part(std::size_t{512} << 10, 'b');
    constexpr int parts = 6;
    for (int i = 0; i < pieces; ++i)
    {
        if (i % (pieces / parts) == 0)
        {
            daemon.reply_bytes(call.attempt, part);
        }
        continue_endless();
    }
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    auto const out = daemon.tick_now();
    ASSERT_EQ(out.proxy_answers.size(), 1U);
    EXPECT_EQ(out.proxy_answers.front().kind, proxy_answer_kind::complete);
    EXPECT_GE(out.proxy_answers.front().bytes.size(), part.size() * parts);
}

} // namespace
