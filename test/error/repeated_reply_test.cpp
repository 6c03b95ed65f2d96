// Guards against a faulty server that writes an earlier reply once more: the
// copy must not be taken for the reply to a later call.
#include "daemon_loop.hpp"
#include "engine_client.hpp"
#include "http_client.hpp"
#include "instance_client.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "proxy_fixture.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"
#include "service_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

std::string reply_text(std::string const &status, std::string const &headers,
                       std::string const &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal_of(std::string const &attempt)
{
    return reply_text("503 Service Unavailable",
                      "Not-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n",
                      "full");
}

std::string success_of(std::string const &attempt)
{
    return reply_text("200 OK",
                      "Server-Signature: s\r\nAttempt-Id: " + attempt + "\r\n",
                      "seat of " + attempt);
}

bool contains(std::string const &text, std::string const &part)
{
    return text.find(part) != std::string::npos;
}

/// @return value of the header `name` in the head of a request
std::string header_in(std::string const &request, std::string const &name)
{
    auto const place = request.find(name + ": ");
    if (place == std::string::npos)
    {
        return "";
    }
    auto const begin = place + name.size() + 2;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

/// One daemon behind the platform whose instances are all at one address.
class proxied_calls
{
public:
    proxied_calls(std::string const &address, int instances)
        : loop_(daemon.state), codec_(platform::make_codec()),
          http_(connection_reuse::single_call), instances_(http_, loop_, codec_)
    {
        auto &handlers = loop_.handlers;
        handlers.call_instance = [this](proxy_call const &call)
        {
            ++calls;
            auto content = *call.content;
            content.headers = {{"Attempt-Id", content.caller_attempt}};
            auto sent = call;
            sent.content =
                std::make_shared<proxy_request const>(std::move(content));
            instances_.call(sent);
        };
        handlers.cancel_proxied_request = [this](proxy_cancel const &cancel)
        { instances_.cancel(cancel); };
        handlers.answer_proxied_request = [this](proxy_answer const &answer)
        { answers.push_back(answer); };
        loop_.input();
        run_main_context_until([] { return false; }, milliseconds(20));
        daemon.list_endpoints(instances);
        for (int i = 1; i <= instances; ++i)
        {
            auto const id = "desk-" + std::to_string(i);
            auto instance = daemon.state.proxy.instances.find(id)->definition;
            instance.address = address;
            daemon.list(instance);
        }
    }

    /// Sends a request and waits for its answer and for what follows it.
    proxy_answer answer_to(std::string const &path)
    {
        auto const before = answers.size();
        daemon.send(path);
        loop_.input();
        EXPECT_TRUE(run_main_context_until(
            [this, before] { return answers.size() > before; }));
        run_main_context_until([] { return false; }, milliseconds(50));
        EXPECT_EQ(answers.size(), before + 1);
        return answers.empty() ? proxy_answer{} : answers.back();
    }

    proxy_fixture daemon;
    int calls = 0;
    std::vector<proxy_answer> answers;

private:
    daemon_loop loop_;
    proxy_codec codec_;
    http_client http_;
    instance_client instances_;
};

TEST(repeated_reply, no_connection_to_an_instance_is_used_again)
{
    raw_reply_server const server(
        [](int index, std::string const &request)
        {
            auto const own = success_of(header_in(request, "Attempt-Id"));
            return index == 0 ? own + refusal_of("attempt-1")
                              : refusal_of("attempt-1") + own;
        });
    proxied_calls daemon(server.address(), 2);
    for (int i = 1; i <= 4; ++i)
    {
        auto const answer = daemon.answer_to("/book/1");
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.bytes, "seat of attempt-" + std::to_string(i));
    }
    EXPECT_EQ(server.connections(), 4);
    EXPECT_EQ(server.requests(), 4);
}

TEST(repeated_reply, what_follows_a_refusal_is_no_reply_to_the_next_call)
{
    raw_reply_server const server(
        [](int, std::string const &request)
        {
            auto const id = header_in(request, "Attempt-Id");
            bool const refused =
                header_in(request, "Target-Instance") == "desk-1";
            return refused ? refusal_of(id) + refusal_of(id) + success_of(id)
                           : success_of(id) + refusal_of(id);
        });
    proxied_calls daemon(server.address(), 2);
    for (int i = 1; i <= 6; ++i)
    {
        auto const answer = daemon.answer_to("/book/1");
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.bytes, "seat of attempt-" + std::to_string(i));
    }
    EXPECT_GT(daemon.calls, 6);
    EXPECT_EQ(server.connections(), daemon.calls);
}

TEST(repeated_reply, a_refusal_of_another_attempt_does_not_prove_not_run)
{
    raw_reply_server const server([](int, std::string const &)
                                  { return refusal_of("attempt-0"); });
    proxied_calls daemon(server.address(), 3);
    EXPECT_EQ(daemon.answer_to("/book/1").status, 502);
    EXPECT_EQ(daemon.calls, 1);
}

TEST(repeated_reply, a_refusal_before_the_own_reply_does_not_prove_not_run)
{
    raw_reply_server const server(
        [](int, std::string const &request)
        {
            return refusal_of("attempt-0") +
                   success_of(header_in(request, "Attempt-Id"));
        });
    proxied_calls daemon(server.address(), 3);
    EXPECT_EQ(daemon.answer_to("/book/1").status, 502);
    EXPECT_EQ(daemon.calls, 1);
}

TEST(repeated_reply, an_interim_reply_does_not_hide_the_id_of_the_refusal)
{
    raw_reply_server const server(
        [](int, std::string const &)
        {
            return "HTTP/1.1 102 Processing\r\nAttempt-Id: attempt-1\r\n"
                   "Not-Executed: 1\r\n\r\n" +
                   refusal_of("attempt-0");
        });
    proxied_calls daemon(server.address(), 3);
    EXPECT_EQ(daemon.answer_to("/book/1").status, 502);
    EXPECT_EQ(daemon.calls, 1);
}

TEST(repeated_reply, an_interim_reply_is_no_refusal)
{
    raw_reply_server const server(
        [](int, std::string const &request)
        {
            return "HTTP/1.1 102 Processing\r\nAttempt-Id: attempt-1\r\n"
                   "Not-Executed: 1\r\n\r\n" +
                   success_of(header_in(request, "Attempt-Id"));
        });
    proxied_calls daemon(server.address(), 3);
    EXPECT_EQ(daemon.answer_to("/book/1").status, 200);
    EXPECT_EQ(daemon.calls, 1);
}

TEST(repeated_reply, a_refusal_with_a_second_id_does_not_prove_not_run)
{
    raw_reply_server const server(
        [](int, std::string const &)
        {
            return reply_text("503 Service Unavailable",
                              "Not-Executed: 1\r\nAttempt-Id: attempt-1\r\n"
                              "Attempt-Id: attempt-0\r\n",
                              "full");
        });
    proxied_calls daemon(server.address(), 3);
    EXPECT_EQ(daemon.answer_to("/book/1").status, 502);
    EXPECT_EQ(daemon.calls, 1);
}

/// The clients of the product's own front door.
class front_door
{
public:
    explicit front_door(std::string address)
        : state({"edge-1", incarnation_number(1), "zone-a", "127.0.0.1:1"}, 1),
          engines(http_, loop_), services(http_, loop_),
          address_(std::move(address))
    {
    }

    /// @return the kind of the first event of a generation
    engine_event_kind generate(std::uint64_t attempt)
    {
        engine_call call;
        call.attempt = attempt_number(attempt);
        call.address = address_;
        call.stream_key = "stream-" + std::to_string(attempt);
        engines.call(call);
        auto const &events = state.in.engine_events;
        EXPECT_TRUE(
            run_main_context_until([&events] { return !events.empty(); }));
        auto const kind =
            events.empty() ? engine_event_kind::refused : events.front().kind;
        settle();
        return kind;
    }

    order_outcome order(std::string const &id)
    {
        order_call call;
        call.address = address_;
        call.order.id = id;
        engines.send_order(call);
        auto const &replies = state.in.order_replies;
        EXPECT_TRUE(
            run_main_context_until([&replies] { return !replies.empty(); }));
        auto const outcome =
            replies.empty() ? order_outcome::unknown : replies.front().outcome;
        settle();
        return outcome;
    }

    std::string look_up(std::string const &path)
    {
        service_call call;
        call.attempt = attempt_number(1);
        call.address = address_;
        call.method = "GET";
        call.path = path;
        call.timeout = seconds(2);
        services.call(call);
        auto const &replies = state.in.service_replies;
        EXPECT_TRUE(
            run_main_context_until([&replies] { return !replies.empty(); }));
        auto body = replies.empty() ? "" : replies.front().body;
        settle();
        return body;
    }

    world state;

private:
    void settle()
    {
        run_main_context_until([] { return false; }, milliseconds(50));
        state.in = {};
    }

    daemon_loop loop_{state};
    http_client http_;

public:
    engine_client engines;
    service_client services;

private:
    std::string address_;
};

std::string const engine_refusal =
    reply_text("503 Service Unavailable", "Content-Type: application/json\r\n",
               R"({"error":"full"})");

std::string const engine_stream =
    reply_text("200 OK", "Content-Type: text/event-stream\r\n",
               "data: {\"kind\":\"finished\",\"offset\":0,\"tokens\":1,"
               "\"text\":\"a\"}\n\n");

// The engine runs the second generation; a refusal would send it to another
// engine as well.
TEST(repeated_reply, an_engine_that_refuses_twice_refuses_one_generation)
{
    raw_reply_server const server(
        [](int index, std::string const &request)
        {
            if (contains(request, "stream-1"))
            {
                return engine_refusal + engine_refusal;
            }
            return index == 0 ? engine_stream : engine_refusal + engine_stream;
        });
    front_door daemon(server.address());
    EXPECT_EQ(daemon.generate(1), engine_event_kind::refused);
    EXPECT_EQ(daemon.generate(2), engine_event_kind::finished);
}

TEST(repeated_reply, a_late_copy_of_a_refusal_refuses_no_other_generation)
{
    raw_reply_server const server(
        [](int index, std::string const &request)
        {
            if (contains(request, "stream-1"))
            {
                return engine_refusal;
            }
            return index == 0 ? engine_stream : engine_refusal + engine_stream;
        });
    front_door daemon(server.address());
    EXPECT_EQ(daemon.generate(1), engine_event_kind::refused);
    EXPECT_EQ(daemon.generate(2), engine_event_kind::finished);
}

TEST(repeated_reply, a_late_copy_of_a_refused_order_refuses_no_other_order)
{
    auto const refused =
        reply_text("200 OK", "Content-Type: application/json\r\n",
                   R"({"outcome":"refused_generation"})");
    auto const accepted =
        reply_text("200 OK", "Content-Type: application/json\r\n",
                   R"({"outcome":"accepted"})");
    raw_reply_server const server(
        [refused, accepted](int index, std::string const &request)
        {
            if (contains(request, "order-1"))
            {
                return std::string(refused);
            }
            return index == 0 ? accepted : refused + accepted;
        });
    front_door daemon(server.address());
    EXPECT_EQ(daemon.order("order-1"), order_outcome::refused_generation);
    EXPECT_EQ(daemon.order("order-2"), order_outcome::accepted);
}

TEST(repeated_reply, a_late_copy_of_an_answer_reaches_no_other_caller)
{
    auto const first = reply_text("200 OK", "", "first");
    auto const second = reply_text("200 OK", "", "second");
    raw_reply_server const server(
        [first, second](int index, std::string const &request)
        {
            if (contains(request, "/first"))
            {
                return std::string(first);
            }
            return index == 0 ? second : first + second;
        });
    front_door daemon(server.address());
    EXPECT_EQ(daemon.look_up("/first"), "first");
    EXPECT_EQ(daemon.look_up("/second"), "second");
}

} // namespace
