// Guards against unbounded buffering of an answer for a slow reader: TCP flow
// control must stop the engine, and it must continue once the caller reads.
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace
{

using namespace agateledge;

constexpr int total_chunks = 3000;
constexpr std::size_t chunk_bytes = 4096;

/// Engine that writes its next chunk when the previous one has been sent.
struct chunk_engine
{
    SoupServerMessage *message = nullptr;
    int sent = 0;

    void write_next()
    {
        auto *body = soup_server_message_get_response_body(message);
        if (sent == total_chunks)
        {
            append(body, "data: {\"kind\":\"finished\",\"offset\":" +
                             std::to_string(sent) + "}\n\n");
            soup_message_body_complete(body);
            ++sent;
        }
        if (sent < total_chunks)
        {
            append(body, "data: {\"kind\":\"chunk\",\"offset\":" +
                             std::to_string(sent++) +
                             ",\"tokens\":1,\"text\":\"" +
                             std::string(chunk_bytes, 'x') + "\"}\n\n");
        }
        soup_server_message_unpause(message);
    }

    static void append(SoupMessageBody *body, std::string const &text)
    {
        soup_message_body_append(body, SOUP_MEMORY_COPY, text.data(),
                                 text.size());
    }

    void start(SoupServerMessage *started)
    {
        message = started;
        soup_server_message_set_status(message, 200, nullptr);
        soup_message_headers_set_encoding(
            soup_server_message_get_response_headers(message),
            SOUP_ENCODING_CHUNKED);
        soup_message_body_set_accumulate(
            soup_server_message_get_response_body(message), FALSE);
        g_signal_connect(message, "wrote-chunk",
                         G_CALLBACK(+[](SoupServerMessage *, gpointer self) {
                             static_cast<chunk_engine *>(self)->write_next();
                         }),
                         this);
        write_next();
    }
};

TEST(flow_control, slow_reader_holds_the_engine_and_gets_all)
{
    scripted_deployment deployment;
    chunk_engine engine;
    deployment.on_generate = [&engine](SoupServerMessage *message,
                                       std::string const &, std::string const &)
    { engine.start(message); };
    raw_client client(deployment.port());
    client.send(make_http_request(
        "POST", "/v1/completions", caller_headers,
        R"({"model":"manual","stream":true,"prompt":"all"})"));
    run_main_context_until([] { return false; }, milliseconds(700));
    auto const sent_before = engine.sent;
    run_main_context_until([] { return false; }, milliseconds(300));
    // The loopback socket buffers of both connections hold a few megabytes.
    EXPECT_EQ(engine.sent, sent_before);
    EXPECT_LT(engine.sent, total_chunks);
    EXPECT_TRUE(client.read_until("[DONE]\n\n", seconds(20)));
    auto const text_bytes = static_cast<std::size_t>(
        std::count(client.received.begin(), client.received.end(), 'x'));
    EXPECT_GE(text_bytes, total_chunks * chunk_bytes);
}

} // namespace
