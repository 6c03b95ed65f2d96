// Guards against a malformed message of a peer or of the platform that crashes
// a daemon or is accepted.
#include "daemon_loop.hpp"
#include "json_text.hpp"
#include "peer_messages.hpp"
#include "peer_rpc_server.hpp"
#include "random_source.hpp"
#include "signing_keys.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace agateledge
{
namespace
{

constexpr int rounds = 5000;

/// Changes, removes, repeats or inserts some bytes.
std::string damage(std::string text, random_source &random)
{
    auto const edits = 1 + random.below(4);
    for (std::uint64_t i = 0; i < edits && !text.empty(); ++i)
    {
        auto const place = random.below(text.size());
        auto const length = 1 + random.below(8);
        switch (random.below(4))
        {
        case 0:
            text[place] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(place, length);
            break;
        case 2:
            text.insert(place, text.substr(place, length));
            break;
        default:
            text.insert(place, 1, R"({}[],:"-9e\)"[random.below(11)]);
            break;
        }
    }
    return text;
}

heartbeat sample_heartbeat()
{
    heartbeat message;
    message.from = "daemon-1";
    message.incarnation = incarnation_number(5);
    message.sequence = 1;
    message.shares = {{"engine-1", 3, 4000, 2}};
    message.demand = {{"caller", "class", 2.5}};
    message.changes = {{"engine-2", 9, 250}};
    return message;
}

std::string sample_request(signing_keys const &keys)
{
    peer_envelope call;
    call.method = heartbeat_method;
    call.sender = "daemon-1";
    call.incarnation = incarnation_number(5);
    call.counter = 1;
    call.receiver = "daemon-2";
    call.receiver_incarnation = incarnation_number(7);
    call.body = heartbeat_to_text(sample_heartbeat());
    sign_envelope(call, keys);
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = call.method;
    request["params"] = envelope_to_json(call);
    return json_to_text(request);
}

TEST(peer_messages_fuzz, a_damaged_call_is_refused)
{
    world state({"daemon-2", incarnation_number(7), "brest", ""}, 1);
    daemon_loop loop(state);
    signing_keys const keys({"first-key-0123456789"});
    auto const request = sample_request(keys);
    random_source random(42);
    for (int i = 0; i < rounds; ++i)
    {
        peer_rpc_server server(state, loop, keys);
        server.respond(damage(request, random));
        // Some edits, such as one to the id, leave the signed part as it was.
        for (auto const &message : state.in.heartbeats)
        {
            ASSERT_EQ(message, sample_heartbeat());
        }
        state.in = {};
    }
}

TEST(peer_messages_fuzz, damaged_documents_are_refused_without_a_crash)
{
    auto const message = heartbeat_to_text(sample_heartbeat());
    auto const reply =
        configuration_reply_to_text({"daemon-1", "{\"revision\":3}", 7});
    std::string const hosts =
        R"({"hosts":[{"name":"a","data_centre":"b","address":"c",)"
        R"("leaving":true,"entry":false}]})";
    random_source random(43);
    int accepted = 0;
    for (int i = 0; i < rounds; ++i)
    {
        auto const read = heartbeat_from_text(damage(message, random));
        if (read.ok())
        {
            ++accepted;
            ASSERT_GE(read->revision_age_us, -1);
        }
        accepted +=
            configuration_reply_from_text(damage(reply, random)).ok() ? 1 : 0;
        accepted +=
            membership_report_from_text(damage(hosts, random)).ok() ? 1 : 0;
    }
    EXPECT_LT(accepted, rounds * 2);
}

TEST(peer_messages_fuzz, wrong_types_and_sizes_are_refused)
{
    for (auto const *text : {"", "[]", "7", "null", "\"x\"", R"({"shares":7})",
                             R"({"sequence":-1})", R"({"sequence":1e300})",
                             R"({"shares":[{"requests":-1}]})",
                             R"({"shares":[7]})", R"({"from":{}})"})
    {
        EXPECT_FALSE(heartbeat_from_text(text).ok()) << text;
    }
    EXPECT_FALSE(membership_report_from_text("{}").ok());
    EXPECT_FALSE(membership_report_from_text("[]").ok());
    std::string const deep(100000, '[');
    EXPECT_FALSE(heartbeat_from_text(deep).ok());
}

// The daemon stopped following the list of hosts.
TEST(peer_messages_fuzz, an_unreadable_host_hides_no_other)
{
    for (auto const *host :
         {"7", "null", "[]", "\"x\"", R"({"name":{}})", R"({"name":["a"]})",
          R"({"name":"a","leaving":"yes"})", R"({"name":"a","address":[1]})",
          R"({"name":"a","entry":{"b":1}})"})
    {
        auto const sound = [](std::string const &name)
        {
            return R"({"name":")" + name +
                   R"(","data_centre":"b","address":"c","leaving":true,)" +
                   R"("entry":false})";
        };
        auto const report =
            membership_report_from_text(R"({"hosts":[)" + sound("first") + "," +
                                        host + "," + sound("last") + "]}");
        ASSERT_TRUE(report.ok()) << host << ": " << report.status();
        ASSERT_GE(report->hosts.size(), 2U) << host;
        EXPECT_EQ(report->hosts.front().name, "first");
        EXPECT_EQ(report->hosts.back().name, "last");
    }
}

// The parser refuses the whole document because of one of its values.
TEST(peer_messages_fuzz, a_host_that_the_parser_refuses_hides_no_other)
{
    std::vector<std::string> const values{
        std::string(100'000, '[') + std::string(100'000, ']'), "1e400",
        std::string(1000, '9'), R"("\ud800")", R"({"]":"}","\"":1e400})"};
    for (auto const &value : values)
    {
        auto const report = membership_report_from_text(
            R"({"x":1e400,"hosts" : [ {"name":"first","data_centre":"b"},)"
            R"({"name":"odd","x":)" +
            value + R"(}, {"name":"last, \"]}","data_centre":"b"} ] } )");
        ASSERT_TRUE(report.ok())
            << value.substr(0, 50) << ": " << report.status();
        ASSERT_GE(report->hosts.size(), 2U) << value.substr(0, 50);
        EXPECT_EQ(report->hosts.front().name, "first");
        EXPECT_EQ(report->hosts.back().name, "last, \"]}");
    }
}

// An empty list would remove all hosts.
TEST(peer_messages_fuzz, a_list_without_a_readable_host_is_refused)
{
    EXPECT_TRUE(membership_report_from_text(R"({"hosts":[]})").ok());
    for (auto const *list : {R"({"hosts":[7]})", R"({"hosts":[1e400]})",
                             R"({"hosts":[x,y]})", R"({"hosts":{"name":"a"}})",
                             R"({"hosts":[}]})", R"({"hosts":1e400})"})
    {
        EXPECT_FALSE(membership_report_from_text(list).ok()) << list;
    }
}

TEST(peer_messages_fuzz, a_torn_list_of_hosts_is_refused)
{
    std::string const list =
        R"({"hosts":[{"name":"a","x":1e400},{"name":"b"}]})";
    for (std::size_t size = 0; size < list.size(); ++size)
    {
        EXPECT_FALSE(membership_report_from_text(list.substr(0, size)).ok())
            << list.substr(0, size);
    }
}

} // namespace
} // namespace agateledge
