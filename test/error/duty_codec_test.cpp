// Guards against transactions and platform calls that do not have the wire
// format, against replies that are taken for more than they state, and against
// calls that are sent after the end of the holder's authority.
#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "json_text.hpp"
#include "peer_load_codec.hpp"
#include "peer_load_report.hpp"
#include "platform_call.hpp"
#include "platform_codec.hpp"
#include "proxy_codec.hpp"
#include "random_source.hpp"
#include "raw_client.hpp"
#include "raw_reply_server.hpp"
#include "row_transaction.hpp"
#include "usage_snapshot.hpp"
#include "usage_snapshot_codec.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace
{

using namespace agateledge;

row_transaction sample_write()
{
    row_transaction out;
    out.operation = 7;
    out.conditions = {{"lease/usage", 5}, {"usage/9", 0}};
    out.puts = {{"lease/usage", "a"}, {"usage/9", "{}"}};
    out.removes = {"usage/8"};
    return out;
}

TEST(duty_codec, a_transaction_has_the_format_of_the_store)
{
    auto const codec = platform::make_codec();
    auto const request = codec.encode_row_transaction(sample_write());
    EXPECT_EQ(request.method + " " + request.path, "POST /v1/rows-tx");
    EXPECT_EQ(*json_from_text(*request.body),
              *json_from_text(R"({"expected_revision":[
            {"table":"duties","part":"","key":"lease/usage","row_version":5},
            {"table":"duties","part":"","key":"usage/9","row_version":0}],
            "puts":[
            {"table":"duties","part":"","key":"lease/usage","value":"YQ=="},
            {"table":"duties","part":"","key":"usage/9","value":"e30="}],
            "remove":[{"table":"duties","part":"","key":"usage/8"}]})"));
}

TEST(duty_codec, a_reply_states_no_more_than_the_store_said)
{
    using enum row_transaction_outcome;
    auto const codec = platform::make_codec();
    auto const outcome = [&codec](int status, std::string_view body) {
        return codec.decode_row_transaction(sample_write(), status, body)
            .outcome;
    };
    EXPECT_EQ(outcome(200, R"({"row_version":6})"), committed);
    EXPECT_EQ(outcome(200, "{}"), unknown);
    EXPECT_EQ(outcome(200, R"({"row_version")"), unknown);
    EXPECT_EQ(outcome(200, "[]"), unknown);
    EXPECT_EQ(outcome(412, "not JSON"), unknown);
    EXPECT_EQ(outcome(503, ""), refused);
    EXPECT_EQ(outcome(429, ""), refused);
    EXPECT_EQ(outcome(500, ""), unknown);
    EXPECT_EQ(outcome(0, ""), unknown);
    auto const reply = codec.decode_row_transaction(
        sample_write(), 412,
        R"({"rows":[{"key":"lease/usage","row_version":8,"value":"Yg=="}]})");
    EXPECT_EQ(reply.outcome, row_transaction_outcome::conflict);
    std::vector<stored_row> const rows{{"lease/usage", "b", 8},
                                       {"usage/9", "", 0}};
    EXPECT_EQ(reply.rows, rows);
    EXPECT_EQ(codec.decode_store_era({{"store-era", "3"}}), 3U);
    EXPECT_EQ(codec.decode_store_era({}), 0U);
}

TEST(duty_codec, platform_calls_name_the_holder_and_the_token)
{
    auto const codec = platform::make_codec();
    platform_call call;
    call.holder = "edge-1";
    call.fencing = 16777217;
    call.body = usage_report{42, {{"a", 3}}};
    auto const report = codec.encode_platform_call(call);
    header_list const headers{{"Lease-Holder", "edge-1"},
                              {"Fencing-Token", "16777217"}};
    EXPECT_EQ(report.headers, headers);
    EXPECT_EQ(report.method + " " + report.path, "POST /usage-reports");
    EXPECT_EQ(*report.body, R"({"counts":{"a":3},"window":42})");
    call.body = capacity_order{"chat", "zone-a", 4, true};
    auto const order = codec.encode_platform_call(call);
    EXPECT_EQ(order.path, "/scale");
    EXPECT_EQ(*order.body,
              R"({"desired":4,"service":"chat","spot":true,"zone":"zone-a"})");
    EXPECT_EQ(codec.decode_platform_reply(call, 409).outcome,
              platform_outcome::unavailable);
    EXPECT_EQ(codec.decode_platform_reply(call, 0).outcome,
              platform_outcome::unknown);
}

/// @return how a call ended
std::optional<http_outcome> send_call(raw_reply_server const &server,
                                      duration time_left)
{
    http_client client;
    http_request request;
    request.address = server.address();
    request.path = "/usage-reports";
    request.total_timeout = milliseconds(300);
    request.not_after = daemon_loop::clock_now() + time_left;
    std::optional<http_outcome> outcome;
    client.send(request, [&outcome](http_reply const &reply)
                { outcome = reply.outcome; });
    run_main_context_until([&outcome] { return outcome.has_value(); });
    return outcome;
}

TEST(duty_codec, nothing_is_sent_after_the_end_of_the_authority)
{
    raw_reply_server server([](int, std::string const &) { return ""; });
    EXPECT_EQ(send_call(server, duration(0)), http_outcome::failed_before_send);
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(send_call(server, seconds(2)), http_outcome::failed_after_send);
    EXPECT_EQ(server.requests(), 1);
}

TEST(duty_codec, snapshots_arrive_as_sent_and_damaged_ones_are_harmless)
{
    usage_snapshot report;
    report.sender = "edge-1";
    report.incarnation = 1;
    report.sequence = 2;
    report.starts = {{9, "a", 3}, {9, "b", 0}};
    report.services = {{"chat", 1, 2, 3, 4}};
    report.open_window = 10;
    report.wall_time = seconds(50);
    report.leases = {{1, "edge-1", 1, 2, 3, 4, 5}};
    report.closed = {{8, ~0ULL}};
    auto const bytes = encode_usage_snapshot(report);
    EXPECT_EQ(decode_usage_snapshot(bytes), report);
    EXPECT_FALSE(decode_peer_load(bytes));
    EXPECT_FALSE(decode_usage_snapshot(encode_peer_load({})));
    random_source random(1);
    for (int i = 0; i < 20000; ++i)
    {
        auto damaged = bytes.substr(0, random.below(bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
        {
            damaged[random.below(damaged.size())] =
                static_cast<char>(random.below(256));
        }
        auto const decoded = decode_usage_snapshot(damaged);
        EXPECT_TRUE(!decoded || decoded->starts.size() <= bytes.size());
    }
}

} // namespace
