// Tests the path from an HTTP caller through the network adapters: a streamed
// answer, an answer as one document, and a booking.
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

constexpr std::string_view chat = "/v1/chat/completions";

TEST(http_path, streams_an_answer_as_server_sent_events)
{
    scripted_deployment deployment;
    auto const text = deployment.call(
        "POST", chat, "",
        R"({"model":"manual","stream":true,"messages":[{"role":"user",)"
        R"("content":"where is hall 4?"}]})",
        "[DONE]\n\n");
    EXPECT_NE(text.find("HTTP/1.1 200"), std::string::npos) << text;
    EXPECT_NE(text.find("text/event-stream"), std::string::npos);
    EXPECT_NE(text.find("id: rennes-a/engine-1/daemon-1:1:1/"),
              std::string::npos);
    EXPECT_NE(text.find("\"content\":\"t1 t2 \""), std::string::npos);
    EXPECT_NE(text.find("data: [DONE]\n\n"), std::string::npos);
}

TEST(http_path, answers_with_one_document)
{
    scripted_deployment deployment;
    auto const text = deployment.call(
        "POST", "/v1/completions", "",
        R"({"model":"manual","prompt":"where is hall 4?"})", "total_tokens");
    EXPECT_NE(text.find("\"text\":\"t0 t1 t2 \""), std::string::npos) << text;
    EXPECT_NE(text.find("\"completion_tokens\":3"), std::string::npos);
}

TEST(http_path, runs_a_booking_once_for_a_repeated_key)
{
    scripted_deployment deployment;
    auto const book = [&deployment]
    {
        return deployment.call("POST", "/v1/services/desk/book",
                               "Idempotency-Key: stand-12\r\n",
                               R"({"stand":12})", "{\"seat\":12}");
    };
    EXPECT_NE(book().find("{\"seat\":12}"), std::string::npos);
    EXPECT_NE(book().find("{\"seat\":12}"), std::string::npos);
    EXPECT_EQ(deployment.request_counts["/book"], 1);
}

} // namespace
