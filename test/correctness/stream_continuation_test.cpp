// Guards against streams that end as complete before their last event, and
// against text in a stream that is not its continuation, when an engine fails
// and another one is to continue the stream.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace
{

using namespace agateledge;

/// Daemon with three engines and one request for a stream.
class stream_continuation : public testing::Test
{
protected:
    void begin(std::string const &path, std::string const &events)
    {
        daemon.list_engines(3, engine_role::mixed);
        daemon.send(path, 7, 1000);
        step();
        daemon.reply_head(call.attempt, 200);
        daemon.reply_bytes(call.attempt, events);
        step();
    }

    /// The route allows two calls otherwise.
    void allow_three_calls()
    {
        auto routing = *daemon.state.proxy.routing;
        routing.routes.front().max_attempts = 3;
        daemon.state.proxy.set_routing(
            std::make_shared<routing_configuration const>(std::move(routing)));
    }

    /// Ends the call by a failure, so that the stream is continued elsewhere.
    void fail()
    {
        daemon.reply_ends(call.attempt, proxy_event_kind::failed_after_send);
        step();
    }

    void reply(proxy_reply_head const &head, std::string const &bytes)
    {
        daemon.reply_head(call.attempt, head);
        if (!bytes.empty())
        {
            daemon.reply_bytes(call.attempt, bytes);
        }
        daemon.reply_ends(call.attempt, proxy_event_kind::finished);
        step();
    }

    void step()
    {
        auto const out = daemon.advance(milliseconds(20));
        calls += out.proxy_calls.size();
        if (!out.proxy_calls.empty())
        {
            call = out.proxy_calls.back();
        }
        for (auto const &answer : out.proxy_answers)
        {
            text += answer.bytes;
            last = answer.kind;
        }
    }

    proxy_fixture daemon;
    proxy_call call;
    std::size_t calls = 0;
    /// Body that the caller has received.
    std::string text;
    proxy_answer_kind last = proxy_answer_kind::begin;
};

proxy_reply_head stream_head(body_framing framing = body_framing::chunked)
{
    proxy_reply_head head;
    head.status = 200;
    head.framing = framing;
    head.is_signed = true;
    head.is_event_stream = true;
    return head;
}

constexpr char const *first_event = "id: 1\ndata: a\n\n";
constexpr char const *second_event = "id: 2\ndata: b\n\n";

TEST_F(stream_continuation, a_body_that_is_no_event_stream_is_not_forwarded)
{
    begin("/chat/1", first_event);
    fail();
    auto head = stream_head();
    head.is_event_stream = false;
    reply(head, "{\"error\":\"overloaded\"}\n\n");
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

TEST_F(stream_continuation, a_success_without_a_body_does_not_complete_a_stream)
{
    begin("/chat/1", first_event);
    fail();
    auto head = stream_head();
    head.status = 204;
    reply(head, "");
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

class continuation_error : public stream_continuation,
                           public testing::WithParamInterface<int>
{
};

TEST_P(continuation_error, is_neither_forwarded_nor_the_end_of_the_stream)
{
    begin("/chat/1", first_event);
    fail();
    proxy_reply_head head;
    head.status = GetParam();
    head.is_signed = true;
    reply(head, "HTTP/1.1 500 Error\r\n\r\nid: 2\ndata: error\n\n");
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

INSTANTIATE_TEST_SUITE_P(each_status, continuation_error,
                         testing::Values(302, 400, 404, 429, 500, 503));

TEST_F(stream_continuation, an_error_of_the_next_engine_leaves_a_further_call)
{
    allow_three_calls();
    begin("/chat/1", first_event);
    fail();
    proxy_reply_head head;
    head.status = 404;
    head.is_signed = true;
    reply(head, "error");
    EXPECT_EQ(calls, 3U);
    reply(stream_head(), second_event);
    EXPECT_EQ(text, std::string(first_event) + second_event);
    EXPECT_EQ(last, proxy_answer_kind::end);
}

class unnumbered_event : public stream_continuation,
                         public testing::WithParamInterface<std::string>
{
};

TEST_P(unnumbered_event, is_not_taken_for_the_continuation)
{
    begin("/chat/1", first_event);
    fail();
    reply(stream_head(), GetParam());
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

INSTANTIATE_TEST_SUITE_P(each_id, unnumbered_event,
                         testing::Values("data: b\n\n", "id: x\ndata: b\n\n",
                                         "id: 2b\ndata: b\n\n",
                                         "id:\ndata: b\n\n"));

TEST_F(stream_continuation, events_that_were_sent_are_not_repeated)
{
    auto const sent = std::string(first_event) + second_event;
    begin("/chat/1", sent);
    fail();
    reply(stream_head(), sent + "id: 3\ndata: c\n\n");
    EXPECT_EQ(text, sent + "id: 3\ndata: c\n\n");
    EXPECT_EQ(last, proxy_answer_kind::end);
}

TEST_F(stream_continuation, a_stream_without_ids_is_not_begun_again)
{
    begin("/chat/1", "data: a\n\n");
    fail();
    EXPECT_EQ(calls, 1U);
    EXPECT_EQ(text, "data: a\n\n");
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

// The engine states by the last chunk that no event follows.
TEST_F(stream_continuation, a_whole_reply_without_events_completes_a_stream)
{
    begin("/chat/1", first_event);
    fail();
    reply(stream_head(), "");
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::end);
}

TEST_F(stream_continuation, a_close_before_any_event_does_not_complete_a_stream)
{
    begin("/chat/1", first_event);
    fail();
    reply(stream_head(body_framing::connection), "");
    EXPECT_EQ(text, first_event);
    EXPECT_EQ(last, proxy_answer_kind::aborted);
}

TEST_F(stream_continuation, a_stream_without_any_event_is_not_complete)
{
    daemon.list_engines(1, engine_role::mixed);
    daemon.send("/once/1", 7, 1000);
    step();
    reply(stream_head(), "");
    EXPECT_EQ(text, "");
    EXPECT_EQ(last, proxy_answer_kind::refused);
}

} // namespace
