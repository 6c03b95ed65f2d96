// Guards against numbers that are valid JSON but too large, too small or
// negative for the types and the arithmetic that use them.
#include "cache_messages.hpp"
#include "directory_codec.hpp"
#include "platform_codec.hpp"
#include "prompt_cache_view.hpp"
#include "proxy_codec.hpp"

#include <glib.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <string>

namespace
{

using namespace agateledge;

/// Longer than any bound of a deployment, short enough to be added to a time.
constexpr duration max_time = hours(24 * 365);
constexpr int max_count = 1'000'000;

constexpr std::array numbers{"-1",
                             "-9223372036854775808",
                             "9223372036854775807",
                             "1e400",
                             "1180591620717411303424",
                             "-1e30",
                             "1e30",
                             "4294967296",
                             "1e-400"};

/// @return true for a number that some versions of the parser refuse
bool is_beyond_double(std::string const &number)
{
    return number == "1e400" || number == "1e-400";
}

absl::StatusOr<routing_configuration>
configuration_with(std::string const &number)
{
    std::string text =
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("route_type":"streaming","service":"s","timeout_ms":N,)"
        R"("target_latency_ms":N,"target_gap_ms":N,"priority":N,)"
        R"("max_attempts":N},{"host":"h","prefix":"/q/","route_type":)"
        R"("idempotent","traffic_split":[{"service":"s","weight":N}]}],)"
        R"("services":[{"name":"s","engine":{"kv_capacity":N,)"
        R"("token_kv_bytes":N,"link_mbps":N,"stride":N}}],)"
        R"("limits":{"max_header_bytes":N,"max_body_bytes":N,)"
        R"("idle_timeout_ms":N}})";
    for (auto place = text.find('N'); place != std::string::npos;
         place = text.find('N', place + number.size()))
    {
        text.replace(place, 1, number);
    }
    auto config = platform::decode_configuration(text);
    EXPECT_TRUE(config.ok() || is_beyond_double(number))
        << number << ": " << config.status();
    return config;
}

void expect_time(duration time)
{
    EXPECT_GE(time.count(), 0);
    EXPECT_LE(time, max_time);
}

void expect_number(double number)
{
    EXPECT_GE(number, 0);
    EXPECT_LE(number, std::numeric_limits<float>::max());
}

TEST(odd_number, a_configuration_keeps_within_what_its_types_can_compute)
{
    for (std::string const number : numbers)
    {
        SCOPED_TRACE(number);
        auto const decoded = configuration_with(number);
        if (!decoded.ok())
        {
            continue;
        }
        auto const &config = *decoded;
        ASSERT_EQ(config.routes.size(), 2U);
        ASSERT_EQ(config.services.size(), 1U);
        auto const &route = config.routes.front();
        expect_time(route.timeout);
        expect_time(route.target_latency);
        expect_time(route.max_event_gap.value_or(duration(0)));
        expect_time(route.stream_idle_timeout());
        expect_time(config.limits.idle_timeout);
        EXPECT_GE(route.priority, 0);
        EXPECT_LE(route.priority, max_count);
        EXPECT_GE(route.max_attempts, 1);
        EXPECT_LE(route.max_attempts, max_count);
        auto const &service = config.services.front();
        EXPECT_GE(service.kv_capacity_tokens, 0);
        EXPECT_GE(service.tokens_per_event, 1);
        EXPECT_LE(service.tokens_per_event, max_count);
        expect_number(service.kv_bytes_per_token);
        expect_number(service.kv_bytes_per_ms);
        for (auto const &part : config.routes.back().services)
        {
            EXPECT_GT(part.weight, 0);
            expect_number(part.weight);
        }
        EXPECT_GT(config.limits.max_header_bytes, 0);
        EXPECT_GE(config.limits.max_body_bytes, 0);
    }
}

TEST(odd_number, the_fault_of_a_configuration_is_short)
{
    auto const codec = platform::make_codec();
    row_read read;
    read.table = polled_table::configuration;
    auto const text = R"({"version":7,"routes":[{"host":")" +
                      std::string(100'000, 'h') + R"("}]})";
    gchar *value = g_base64_encode(
        reinterpret_cast<guchar const *>(text.data()), text.size());
    auto const reply = codec.decode_row_read(
        read, 200,
        R"({"rows":[{"key":"config","row_version":3,"value":")" +
            std::string(value) + R"("}],"row_version":4})");
    g_free(value);
    EXPECT_FALSE(reply.fault.empty());
    EXPECT_EQ(reply.configuration, nullptr);
    EXPECT_LT(reply.fault.size(), 1000U);
}

TEST(odd_number, a_cache_change_with_an_impossible_count_is_left_out)
{
    auto const codec = platform::make_codec();
    for (std::string const number : numbers)
    {
        std::string body = R"({"epoch":1,"next":)";
        body.append(number).append(R"(,"events":[[1,"+","","a1",)");
        body.append(number).append(R"(,"m"],[2,"+","","a2",5,"m"]]})");
        auto const reply = codec.decode_cache_read({}, 200, body);
        if (is_beyond_double(number) && !reply.answered)
        {
            EXPECT_TRUE(reply.changes.empty());
            continue;
        }
        EXPECT_TRUE(reply.answered);
        std::vector<cache_change> possible{{"m", 0xa2, 5}};
        if (number == "1e-400")
        {
            possible.insert(possible.begin(), {"m", 0xa1, 0});
        }
        EXPECT_EQ(reply.changes, possible) << number;
    }
}

TEST(odd_number, a_prompt_with_impossible_parts_has_no_shared_parts)
{
    auto const codec = platform::make_codec();
    received_request received;
    received.method = "POST";
    received.target = "/a/b";
    received.body = std::make_shared<std::string const>("x");
    received.headers = {
        {"Host", "a"},
        {"Attempt-Id", "a1"},
        {"Model", "m"},
        {"Token-Count", "100,10"},
        {"Prompt-Prefix", "a:2147483647,b:2147483647,c:2147483647,d:1"}};
    auto const request = codec.decode_request(received);
    ASSERT_TRUE(request.ok());
    ASSERT_TRUE(request->prompt);
    EXPECT_TRUE(std::ranges::all_of(shared_chain_of(*request->prompt),
                                    [](prompt_chain_link const &link)
                                    { return link.tokens >= 0; }));
}

TEST(odd_number, a_handle_that_no_header_can_hold_is_no_handle)
{
    auto const codec = platform::make_codec();
    EXPECT_EQ(codec.decode_prefill(R"({"kv_handle":"3fa09c41b7d5"})"),
              "3fa09c41b7d5");
    for (auto const *handle : {R"("a\r\nb")", R"("a\u0000b")", R"("a b")", "7",
                               "1e400", "[]", "{}", "null"})
    {
        EXPECT_EQ(codec.decode_prefill(R"({"kv_handle":)" +
                                       std::string(handle) + "}"),
                  "")
            << handle;
    }
    EXPECT_EQ(codec.decode_prefill(std::string(60'000, '[')), "");
    EXPECT_EQ(codec.decode_prefill("7"), "");
}

} // namespace
