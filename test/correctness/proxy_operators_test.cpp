// Reproduces failures known from similar systems that no other test covers:
// stalled streams that never end, healthy streams that are aborted, and removed
// instances that are used again after a restart. See
// docs/incidents/elsewhere.md.
#include "exchange_loads.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

proxy_call open_stream(proxy_fixture &daemon)
{
    daemon.list_engines(2, engine_role::decode);
    daemon.send("/once/1", 1, 90, 290);
    auto const out = daemon.advance(milliseconds(10));
    EXPECT_EQ(out.proxy_calls.size(), 1U);
    auto call =
        out.proxy_calls.empty() ? proxy_call{} : out.proxy_calls.front();
    daemon.reply_head(call.attempt, 200);
    daemon.reply_bytes(call.attempt, "id: 1\ndata: a\n\n");
    return call;
}

TEST(proxy_operators, a_stream_that_sends_a_byte_now_and_then_ends_in_its_time)
{
    proxy_fixture daemon;
    auto const call = open_stream(daemon);
    std::size_t cut = 0;
    std::size_t cancelled = 0;
    for (int i = 0; i < 12; ++i)
    {
        auto const out = daemon.advance(milliseconds(500));
        cancelled += out.proxy_cancels.size();
        for (auto const &answer : out.proxy_answers)
        {
            cut += answer.kind == proxy_answer_kind::aborted ? 1 : 0;
        }
        daemon.reply_bytes(call.attempt, "i");
    }
    EXPECT_EQ(cut, 1U);
    EXPECT_EQ(cancelled, 1U);
    EXPECT_EQ(daemon.state.proxy.requests.size(), 0U);
}

TEST(proxy_operators, a_slow_stream_is_passed_on_to_its_end)
{
    proxy_fixture daemon;
    auto const call = open_stream(daemon);
    std::string forwarded;
    bool ended = false;
    for (int event = 2; event <= 5; ++event)
    {
        auto const out = daemon.advance(milliseconds(950));
        for (auto const &answer : out.proxy_answers)
        {
            forwarded += answer.bytes;
            EXPECT_NE(answer.kind, proxy_answer_kind::aborted);
        }
        daemon.reply_bytes(call.attempt,
                           "id: " + std::to_string(event) + "\ndata: a\n\n");
    }
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    for (auto const &answer : daemon.advance(milliseconds(10)).proxy_answers)
    {
        forwarded += answer.bytes;
        ended |= answer.kind == proxy_answer_kind::end;
    }
    EXPECT_TRUE(ended);
    EXPECT_NE(forwarded.find("id: 1\n"), std::string::npos);
    EXPECT_NE(forwarded.find("id: 5\n"), std::string::npos);
}

// Other daemons may still report load of an engine that was removed. Such a
// report must not add the engine again.
TEST(proxy_operators, a_report_of_an_engine_that_left_does_not_bring_it_back)
{
    proxy_fixture daemon;
    daemon.list_engines(2, engine_role::decode);
    daemon.state.proxy.daemons["edge-2"] = {
        daemon.state.now + hours(1), {}, "zone-a"};
    daemon.instances_changed({}, {"decode-1"});
    instance_definition left;
    left.id = "decode-1";
    peer_load_report report;
    report.sender = "edge-2";
    report.data_centre = "zone-a";
    report.incarnation = 1;
    report.sequence = 1;
    report.loads = {{load_key_of(left), 5000, 3}};
    daemon.state.in.peer_load_reports.push_back(report);
    daemon.advance(milliseconds(100));
    EXPECT_EQ(daemon.state.proxy.instances.find("decode-1"), nullptr);
    for (std::uint64_t part = 1; part <= 20; ++part)
    {
        daemon.send("/once/1", part, 90, 290);
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            EXPECT_EQ(call.instance, "decode-2");
        }
    }
}

} // namespace
