// Guards against callers that set headers reserved to the system, and against
// the use of invalid directory entries, configurations or replies.
#include "directory_codec.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "random_source.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace
{

using namespace agateledge;

constexpr char const *entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"stage":"decode",)"
    R"("sequence":4,"born":1700000000000})";

received_request request_with(header_list const &headers)
{
    received_request out;
    out.method = "POST";
    out.target = "/a/b?c=%20";
    out.headers = headers;
    out.body = std::make_shared<std::string const>("x");
    return out;
}

std::string value_in(header_list const &headers, std::string const &name)
{
    auto const found = std::ranges::find(
        headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? "" : found->second;
}

std::string replaced(std::string text, std::string const &from,
                     std::string const &to)
{
    auto const place = text.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return text.replace(place, from.size(), to);
}

TEST(platform_codec, a_caller_cannot_set_what_only_the_system_sets)
{
    auto const codec = platform::make_codec();
    auto const request =
        codec.decode_request(request_with({{"Host", "A.example:80"},
                                           {"Attempt-Id", "a1"},
                                           {"kv-hold", "h"},
                                           {"Pin-Ms", "9"},
                                           {"Kv-Source", "1.2.3.4:5/x"},
                                           {"Kv-Fetch", "1.2.3.4:5"},
                                           {"Target-Instance", "other"},
                                           {"Connection", "close, X-Hop"},
                                           {"X-Hop", "1"},
                                           {"X-Kept", "2"},
                                           {"Deadline-Ms", "700"}}));
    ASSERT_TRUE(request.ok());
    EXPECT_EQ(request->host, "a.example");
    EXPECT_EQ(request->caller_timeout, milliseconds(700));
    proxy_call call;
    call.content = std::make_shared<proxy_request const>(*request);
    call.instance = "i-1";
    call.time_left = milliseconds(650);
    auto const sent = codec.encode_call(call);
    EXPECT_EQ(sent.path, "/a/b?c=%20");
    EXPECT_EQ(value_in(sent.headers, "Target-Instance"), "i-1");
    EXPECT_EQ(value_in(sent.headers, "Deadline-Ms"), "650");
    EXPECT_EQ(value_in(sent.headers, "X-Kept"), "2");
    for (auto const *name :
         {"kv-hold", "Pin-Ms", "Kv-Source", "Kv-Fetch", "X-Hop"})
    {
        EXPECT_EQ(value_in(sent.headers, name), "") << name;
    }
}

TEST(platform_codec, cache_changes_are_read_by_what_the_engine_keeps)
{
    auto const codec = platform::make_codec();
    cache_read read;
    read.instance = "i-1";
    read.after_change = 15;
    EXPECT_EQ(codec.encode_cache_read(read).path, "/v1/kv-events?since=15");
    auto const reply = codec.decode_cache_read(
        read, 200,
        R"({"epoch":189103308581463,"next":17,"lost":true,"events":[)"
        R"([16,"+","","f1243adba1ab",340,"m"],[17,"-","","a1",0,"m"],)"
        R"([18,"+","","not hexadecimal",5,"m"],[19],"x",)"
        R"([20,"+","","a2","5","m"]]})");
    EXPECT_TRUE(reply.answered);
    EXPECT_TRUE(reply.gap);
    EXPECT_EQ(reply.instance, "i-1");
    EXPECT_EQ(reply.epoch, "189103308581463");
    EXPECT_EQ(reply.last_change, 17U);
    std::vector<cache_change> const expected{{"m", 0xf1243adba1ab, 340},
                                             {"m", 0xa1, 0}};
    EXPECT_EQ(reply.changes, expected);
    for (auto const *body : {"", "[]", "{", "7"})
    {
        EXPECT_FALSE(codec.decode_cache_read(read, 200, body).answered) << body;
    }
    EXPECT_FALSE(codec.decode_cache_read(read, 429, "{}").answered);
    EXPECT_FALSE(codec.decode_cache_read(read, 0, "").answered);
}

TEST(platform_codec, a_request_with_two_lengths_or_no_id_is_refused)
{
    auto const codec = platform::make_codec();
    EXPECT_FALSE(codec.decode_request(request_with({{"Host", "a"}})).ok());
    EXPECT_FALSE(
        codec
            .decode_request(request_with({{"Attempt-Id", "a"},
                                          {"Content-Length", "1"},
                                          {"Transfer-Encoding", "chunked"}}))
            .ok());
}

TEST(platform_codec, a_reply_for_another_attempt_or_instance_is_told)
{
    auto const codec = platform::make_codec();
    proxy_request content;
    content.caller_attempt = "a1";
    proxy_call call;
    call.content = std::make_shared<proxy_request const>(content);
    call.instance = "i-1";
    EXPECT_TRUE(codec.decode_head(call, {200, {{"Attempt-Id", "a2"}}})
                    .mismatched_attempt);
    auto const other = codec.decode_head(call, {421, {{"Instance-Id", "i-2"}}});
    EXPECT_TRUE(other.not_run);
    EXPECT_TRUE(other.wrong_instance);
    EXPECT_TRUE(
        codec.decode_head(call, {503, {{"not-executed", "1"}}}).not_run);
    EXPECT_FALSE(codec.decode_head(call, {503, {}}).not_run);
}

TEST(platform_codec, a_reply_is_a_stream_only_if_it_is_declared_as_one)
{
    auto const codec = platform::make_codec();
    proxy_call call;
    call.content = std::make_shared<proxy_request const>();
    auto const is_stream = [&](header_list const &headers) {
        return codec.decode_head(call, {200, headers}).is_event_stream;
    };
    EXPECT_TRUE(is_stream({{"content-type", "Text/Event-Stream; charset=x"}}));
    EXPECT_FALSE(is_stream({{"Content-Type", "application/json"}}));
    EXPECT_FALSE(is_stream({}));
}

TEST(platform_codec, a_body_without_a_length_or_chunks_ends_by_its_connection)
{
    auto const codec = platform::make_codec();
    proxy_call call;
    call.content = std::make_shared<proxy_request const>();
    auto const framing = [&](header_list const &headers) {
        return codec.decode_head(call, {200, headers}).framing;
    };
    EXPECT_EQ(framing({}), body_framing::connection);
    EXPECT_EQ(framing({{"content-length", "3"}}), body_framing::length);
    EXPECT_EQ(framing({{"Transfer-Encoding", "chunked"}}),
              body_framing::chunked);
}

proxy_reply_head decoded_head(int status, header_list const &headers)
{
    proxy_call call;
    call.content = std::make_shared<proxy_request const>();
    return platform::make_codec().decode_head(call, {status, headers});
}

TEST(platform_codec, a_reply_tells_whether_its_instance_leaves)
{
    EXPECT_TRUE(decoded_head(200, {{"server-leaving", " 1 "}}).instance_leaves);
    for (auto const *value : {"", "0", "2", "11", "true", "-1"})
    {
        EXPECT_FALSE(
            decoded_head(200, {{"Server-Leaving", value}}).instance_leaves)
            << value;
    }
    EXPECT_FALSE(decoded_head(200, {}).instance_leaves);
    auto const head = decoded_head(200, {{"Server-Leaving", "1"}});
    EXPECT_EQ(value_in(head.headers, "Server-Leaving"), "1");
}

// Requests carry the header only if the caller sent it.
TEST(platform_codec, a_caller_cannot_announce_for_an_instance)
{
    auto const codec = platform::make_codec();
    auto const request = codec.decode_request(
        request_with({{"Attempt-Id", "a1"}, {"Server-Leaving", "1"}}));
    ASSERT_TRUE(request.ok());
    EXPECT_EQ(value_in(request->headers, "Server-Leaving"), "1");
    proxy_call call;
    call.content = std::make_shared<proxy_request const>(*request);
    EXPECT_FALSE(codec.decode_head(call, {200, {}}).instance_leaves);
}

TEST(platform_codec, the_pause_that_an_instance_asks_for_is_a_plain_number)
{
    for (auto const &[text, expected] :
         {std::pair{"2", duration(seconds(2))},
          std::pair{" 0.25 ", duration(milliseconds(250))},
          std::pair{"0", duration(0)},
          std::pair{"007.5", duration(milliseconds(7500))},
          std::pair{"0.00000049", duration(0)},
          std::pair{"3600.5", duration(hours(1))},
          std::pair{"99999999999999999999", duration(hours(1))}})
    {
        EXPECT_EQ(decoded_head(503, {{"Retry-After", text}}).retry_after,
                  expected)
            << text;
    }
    auto const long_number = std::string(400, '9') + ".5";
    EXPECT_EQ(decoded_head(503, {{"Retry-After", long_number}}).retry_after,
              duration(hours(1)));
    for (auto const *text :
         {"", " ", "-1", "+1", "1e400", "1e2", "nan", "inf", "0x10", "1,5",
          "1.", ".", ".5", "1.2.3", "2 s", "Sat, 05 Dec 2026 03:00:00 GMT"})
    {
        EXPECT_FALSE(decoded_head(503, {{"Retry-After", text}}).retry_after)
            << text;
    }
    EXPECT_FALSE(decoded_head(503, {}).retry_after);
}

TEST(platform_codec, the_request_limit_of_an_instance_is_a_plain_number)
{
    for (auto const &[text, expected] :
         {std::pair{"3.8", 3.8}, std::pair{" 20 ", 20.0}, std::pair{"0", 0.0},
          std::pair{"99999999999999999999", 1e6}})
    {
        for (int const status : {200, 503})
        {
            EXPECT_EQ(
                decoded_head(status, {{"Server-Limit", text}}).request_limit,
                expected)
                << text;
        }
    }
    for (auto const *text : {"", " ", "-1", "+1", "1e2", "nan", "inf", "1,5",
                             "1.", ".5", "3 a second"})
    {
        EXPECT_FALSE(decoded_head(200, {{"Server-Limit", text}}).request_limit)
            << text;
    }
    EXPECT_FALSE(decoded_head(200, {}).request_limit);
    auto const head = decoded_head(200, {{"Server-Limit", "3.8"}});
    EXPECT_EQ(value_in(head.headers, "Server-Limit"), "3.8");
}

TEST(platform_codec, entries_of_another_writer_name_no_instance)
{
    ASSERT_TRUE(platform::decode_instance("i", entry));
    for (auto const &[from, to] :
         {std::pair{R"("ready")", R"("warm")"},
          std::pair{R"("10.0.0.1:80")", R"("nowhere")"},
          std::pair{R"("slots":64)", R"("slots":"64")"},
          std::pair{R"("decode")", R"("cook")"},
          std::pair{R"("born":1700000000000)", R"("born":1.5)"},
          std::pair{R"("zone":"z",)", ""}})
    {
        EXPECT_FALSE(platform::decode_instance("i", replaced(entry, from, to)))
            << to;
    }
}

TEST(platform_codec, damaged_documents_are_refused_without_a_crash)
{
    auto const codec = platform::make_codec();
    random_source random(20261204);
    constexpr int rounds = 3000;
    std::string const config =
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("route_type":"streaming","service":"s"}],"services":[]})";
    std::string const rows = R"({"rows":[{"key":"i","row_version":3,)"
                             R"("value":"e30="}],"row_version":4})";
    row_read read;
    read.table = polled_table::instances;
    for (int i = 0; i < rounds; ++i)
    {
        auto text = i % 2 == 0 ? config : rows;
        auto const place = random.below(text.size());
        text[place] = static_cast<char>(random.below(256));
        if (i % 3 == 0)
        {
            text.resize(place);
        }
        static_cast<void>(platform::decode_configuration(text).ok());
        auto const reply = codec.decode_row_read(read, 200, text);
        EXPECT_TRUE(std::ranges::none_of(reply.instances,
                                         [](instance_row const &row)
                                         { return row.instance != nullptr; }));
    }
}

} // namespace
