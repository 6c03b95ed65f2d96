// Guards against slow but sound streams of an engine that are cut, and against
// stalled ones that send a byte now and then and never end.
#include "gobject_ptr.hpp"
#include "scripted_deployment.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr std::string_view stream_body =
    R"({"model":"manual","stream":true,"prompt":"where is hall 4?"})";

/// Stream of an engine that writes one piece an interval.
struct slow_writer
{
    gobject_ptr<SoupServerMessage> message;
    std::vector<std::string> pieces;
    std::size_t written = 0;
    bool finished = false;

    SoupMessageBody *body() const
    {
        return soup_server_message_get_response_body(message.get());
    }

    gboolean write_next()
    {
        if (finished)
        {
            return G_SOURCE_REMOVE;
        }
        if (written == pieces.size())
        {
            soup_message_body_complete(body());
            soup_server_message_unpause(message.get());
            return G_SOURCE_REMOVE;
        }
        auto const &piece = pieces.at(written++);
        soup_message_body_append(body(), SOUP_MEMORY_COPY, piece.data(),
                                 piece.size());
        soup_server_message_unpause(message.get());
        return G_SOURCE_CONTINUE;
    }
};

void write_slowly(SoupServerMessage *message, guint interval_ms,
                  std::vector<std::string> pieces)
{
    soup_server_message_set_status(message, 200, nullptr);
    soup_message_headers_set_encoding(
        soup_server_message_get_response_headers(message),
        SOUP_ENCODING_CHUNKED);
    auto *writer =
        new slow_writer{gobject_share(message), std::move(pieces), 0, false};
    soup_message_body_set_accumulate(writer->body(), FALSE);
    g_signal_connect(message, "finished",
                     G_CALLBACK(+[](SoupServerMessage *, gpointer data) {
                         static_cast<slow_writer *>(data)->finished = true;
                     }),
                     writer);
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, interval_ms,
        [](gpointer data) -> gboolean
        { return static_cast<slow_writer *>(data)->write_next(); },
        writer,
        [](gpointer data)
        {
            auto *done = static_cast<slow_writer *>(data);
            g_signal_handlers_disconnect_by_data(done->message.get(), done);
            delete done;
        });
    soup_server_message_pause(message);
}

std::string token_event(int offset)
{
    return R"(data: {"kind":"chunk","offset":)" + std::to_string(offset) +
           R"(,"tokens":1,"text":"t)" + std::to_string(offset) + "\"}\n\n";
}

std::string request_bytes()
{
    return make_http_request("POST", "/v1/completions", caller_headers,
                             stream_body);
}

// Both streams run at the same time, because each takes some seconds.
TEST(slow_stream, a_sound_one_is_whole_and_a_stalled_one_is_called_again)
{
    constexpr guint interval_ms = 1000;
    constexpr int tokens = 7;
    std::vector<std::string> sound;
    sound.reserve(tokens + 1);
    for (int i = 0; i < tokens; ++i)
    {
        sound.push_back(token_event(i));
    }
    sound.emplace_back("data: {\"kind\":\"finished\",\"offset\":7}\n\n");
    std::vector<std::string> stalled{token_event(0)};
    stalled.resize(60, ":");
    scripted_deployment slow;
    slow.on_generate = [sound](SoupServerMessage *message, std::string const &,
                               std::string const &)
    { write_slowly(message, interval_ms, sound); };
    scripted_deployment hanging;
    hanging.on_generate = [stalled, calls = 0](SoupServerMessage *message,
                                               std::string const &,
                                               std::string const &) mutable
    {
        if (++calls == 1)
        {
            write_slowly(message, interval_ms / 4, stalled);
            return;
        }
        write_slowly(message, 1,
                     {"data: {\"kind\":\"finished\","
                      "\"offset\":1}\n\n"});
    };
    raw_client of_slow(slow.port());
    raw_client of_hanging(hanging.port());
    of_slow.send(request_bytes());
    of_hanging.send(request_bytes());
    EXPECT_TRUE(of_slow.read_until("[DONE]", seconds(12))) << of_slow.received;
    EXPECT_TRUE(of_hanging.read_until("[DONE]", seconds(6)))
        << of_hanging.received;
    EXPECT_EQ(slow.request_counts["/v1/generate"], 1);
    EXPECT_EQ(hanging.request_counts["/v1/generate"], 2);
    for (int i = 0; i < tokens; ++i)
    {
        auto const token = "\"t" + std::to_string(i) + "\"";
        EXPECT_NE(of_slow.received.find(token), std::string::npos) << token;
    }
}

} // namespace
