// Guards against requests with one prompt part that crash engine after engine,
// through several daemons, and against sound prompts that are refused because
// of crashes and cuts that have another cause.
#include "part_evidence_codec.hpp"
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace agateledge;

constexpr std::uint64_t first_part = 1;
constexpr std::uint64_t guilty_part = 666;

/// Several daemons before the same engines, which exchange evidence. An engine
/// crashes as it begins to answer a prompt with the guilty part.
class tainted_fleet
{
public:
    explicit tainted_fleet(int daemons, int data_centres = 1)
    {
        for (int i = 0; i < daemons; ++i)
        {
            auto daemon = std::make_unique<proxy_fixture>();
            auto &identity = daemon->state.identity;
            identity.name = "edge-" + std::to_string(i);
            identity.data_centre = "zone-" + std::to_string(i % data_centres);
            daemon->list_engines(40, engine_role::decode);
            by_address_["address-" + identity.name] = daemon.get();
            members.push_back(std::move(daemon));
        }
        for (auto &daemon : members)
        {
            introduce_all_to(*daemon);
        }
    }

    void introduce_all_to(proxy_fixture &daemon)
    {
        for (auto const &peer : members)
        {
            auto const &identity = peer->state.identity;
            daemon.state.proxy.daemons[identity.name] = {
                daemon.state.now + hours(1), "address-" + identity.name,
                identity.data_centre};
        }
    }

    void advance(duration time)
    {
        for (duration done{}; done < time; done += milliseconds(10))
        {
            std::vector<part_evidence_send> sent;
            auto const begun = std::exchange(begun_, {});
            for (auto &daemon : members)
            {
                auto out = daemon->advance(milliseconds(10));
                std::ranges::for_each(out.proxy_calls,
                                      [&](proxy_call const &call)
                                      { answer(*daemon, call); });
                std::ranges::move(out.proxy_answers,
                                  std::back_inserter(answers));
                std::ranges::move(out.part_evidence_reports,
                                  std::back_inserter(sent));
            }
            restart_crashed();
            std::ranges::for_each(begun, [](auto const &item)
                                  { finish(*item.first, item.second); });
            deliver(sent);
        }
    }

    /// Sends a prompt with the given second part to one daemon.
    request_number send(std::size_t daemon, std::uint64_t second_part)
    {
        return members.at(daemon)->send_prompt(
            "/chat/x", {first_part, second_part, ++last_part_});
    }

    /// @return head of a reply with events in chunks
    static proxy_reply_head head()
    {
        proxy_reply_head out;
        out.status = 200;
        out.is_signed = true;
        out.is_event_stream = true;
        return out;
    }

    /// How the reply of an engine that crashes begins and ends.
    proxy_reply_head head_of_crash = head();
    proxy_event_kind crash = proxy_event_kind::failed_after_send;
    double lost_share = 0;
    int guilty_calls = 0;
    int sound_calls = 0;
    std::vector<proxy_answer> answers;
    std::vector<std::unique_ptr<proxy_fixture>> members;

private:
    void answer(proxy_fixture &daemon, proxy_call const &call)
    {
        bool const guilty = std::ranges::any_of(
            call.content->prompt->parts,
            [](prompt_part const &part) { return part.id == guilty_part; });
        ++(guilty ? guilty_calls : sound_calls);
        daemon.reply_head(call.attempt, guilty ? head_of_crash : head());
        if (guilty)
        {
            daemon.reply_ends(call.attempt, crash);
            crashing_.push_back(call.instance);
            return;
        }
        daemon.reply_bytes(call.attempt, "id: 1\ndata: x\n\n");
        begun_.emplace_back(&daemon, call.attempt);
    }

    /// Replaces the engines that crashed in the step before, whose calls have
    /// failed by now.
    void restart_crashed()
    {
        for (auto const &id : crashed_)
        {
            for (auto &daemon : members)
            {
                auto &instances = daemon->state.proxy.instances;
                auto engine = instances.find(id)->definition;
                ++engine.started_at_ms;
                instances.put(engine, instances.find(id)->row_version);
            }
        }
        crashed_ = std::exchange(crashing_, {});
    }

    static void finish(proxy_fixture &daemon, attempt_number attempt)
    {
        for (auto const *id : {"2", "3", "4"})
        {
            daemon.reply_bytes(attempt,
                               "id: " + std::string(id) + "\ndata: x\n\n");
        }
        daemon.reply_ends(attempt, proxy_event_kind::finished);
    }

    void deliver(std::vector<part_evidence_send> const &sent)
    {
        for (auto const &item : sent)
        {
            auto const report =
                decode_part_evidence(encode_part_evidence(*item.report));
            ASSERT_EQ(report, *item.report);
            for (auto const &address : item.to)
            {
                if (random_.uniform() >= lost_share)
                {
                    by_address_.at(address)
                        ->state.in.part_evidence_reports.push_back(*report);
                }
            }
        }
    }

    std::map<std::string, proxy_fixture *> by_address_;
    random_source random_{1};
    std::uint64_t last_part_ = 1'000'000;
    /// Engines that crash in this step, and in the one before.
    std::vector<std::string> crashing_;
    std::vector<std::string> crashed_;
    /// Calls whose answers have begun.
    std::vector<std::pair<proxy_fixture *, attempt_number>> begun_;
};

bool is_held(proxy_answer const &answer)
{
    return answer.code == result_code::prompt_held;
}

TEST(prompt_hold, one_part_does_not_crash_engine_after_engine)
{
    tainted_fleet fleet(4);
    for (std::size_t i = 0; i < 40; ++i)
    {
        fleet.send(i % 4, guilty_part);
        fleet.send((i + 1) % 4, 20 + i);
        fleet.advance(milliseconds(500));
    }
    // Each of the first prompts crashes at most two engines.
    EXPECT_LE(fleet.guilty_calls, 6);
    EXPECT_EQ(fleet.sound_calls, 40);
    EXPECT_GE(std::ranges::count_if(fleet.answers, is_held), 35);
}

void crash_repeatedly(tainted_fleet &fleet)
{
    for (std::size_t i = 0; i < 20; ++i)
    {
        fleet.send(i % 4, guilty_part);
        fleet.advance(milliseconds(500));
    }
}

TEST(prompt_hold, crashes_that_truncate_a_reply_are_evidence_too)
{
    tainted_fleet fleet(4);
    fleet.crash = proxy_event_kind::truncated;
    crash_repeatedly(fleet);
    EXPECT_LE(fleet.guilty_calls, 6);
}

TEST(prompt_hold, crashes_that_end_a_reply_without_length_are_evidence_too)
{
    tainted_fleet fleet(4);
    fleet.crash = proxy_event_kind::finished;
    fleet.head_of_crash.framing = body_framing::connection;
    crash_repeatedly(fleet);
    EXPECT_LE(fleet.guilty_calls, 6);
}

TEST(prompt_hold, a_held_prompt_is_refused_as_not_run_with_a_time_to_return)
{
    tainted_fleet fleet(1);
    for (int i = 0; i < 3; ++i)
    {
        fleet.send(0, guilty_part);
        fleet.advance(seconds(1));
    }
    fleet.answers.clear();
    auto const calls = fleet.guilty_calls;
    fleet.send(0, guilty_part);
    fleet.advance(milliseconds(50));
    EXPECT_EQ(fleet.guilty_calls, calls);
    ASSERT_EQ(fleet.answers.size(), 1U);
    EXPECT_TRUE(is_held(fleet.answers.front()));
    EXPECT_EQ(fleet.answers.front().status, 503);
    EXPECT_GT(fleet.answers.front().retry_after.value_or(duration(0)),
              seconds(60));
}

TEST(prompt_hold, a_lossy_network_delays_the_hold_at_other_daemons_only)
{
    tainted_fleet fleet(5);
    fleet.lost_share = 0.5;
    for (int i = 0; i < 3; ++i)
    {
        fleet.send(0, guilty_part);
        fleet.advance(milliseconds(500));
    }
    fleet.advance(seconds(3));
    auto const calls = fleet.guilty_calls;
    for (std::size_t daemon = 0; daemon < 5; ++daemon)
    {
        fleet.send(daemon, guilty_part);
    }
    fleet.advance(seconds(1));
    EXPECT_EQ(fleet.guilty_calls, calls);
}

TEST(prompt_hold, daemons_of_a_large_fleet_learn_of_it_through_their_hubs)
{
    tainted_fleet fleet(30, 3);
    for (int i = 0; i < 3; ++i)
    {
        fleet.send(0, guilty_part);
        fleet.advance(milliseconds(500));
    }
    fleet.advance(seconds(2));
    auto const calls = fleet.guilty_calls;
    for (std::size_t daemon = 0; daemon < 30; ++daemon)
    {
        fleet.send(daemon, guilty_part);
    }
    fleet.advance(seconds(1));
    EXPECT_EQ(fleet.guilty_calls, calls);
}

TEST(prompt_hold, a_daemon_that_starts_later_does_not_crash_engines_again)
{
    tainted_fleet fleet(3);
    auto late = std::move(fleet.members.back());
    fleet.members.pop_back();
    for (int i = 0; i < 3; ++i)
    {
        fleet.send(0, guilty_part);
        fleet.advance(milliseconds(500));
    }
    fleet.advance(seconds(20));
    late->advance(fleet.members.front()->state.now - late->state.now);
    fleet.members.push_back(std::move(late));
    fleet.advance(milliseconds(1500));
    auto const calls = fleet.guilty_calls;
    fleet.send(2, guilty_part);
    fleet.advance(seconds(1));
    EXPECT_EQ(fleet.guilty_calls, calls);
}

TEST(prompt_hold, reports_of_unknown_senders_and_old_evidence_hold_nothing)
{
    tainted_fleet fleet(2);
    part_evidence_report report;
    report.sender = "stranger";
    report.data_centre = "zone-0";
    for (std::uint64_t engine = 1; engine <= 9; ++engine)
    {
        report.losses.push_back(
            {{50, engine, engine}, static_cast<std::uint32_t>(1000 * engine)});
    }
    auto old = report;
    old.sender = "edge-1";
    for (auto &loss : old.losses)
    {
        loss.age_ms += 120'000;
    }
    fleet.members.front()->state.in.part_evidence_reports = {report, old};
    fleet.advance(milliseconds(50));
    fleet.send(0, 50);
    fleet.advance(milliseconds(100));
    EXPECT_EQ(fleet.sound_calls, 1);
    report.sender = "edge-1";
    for (auto &loss : report.losses)
    {
        loss.loss.part = 51;
    }
    fleet.members.front()->state.in.part_evidence_reports = {report};
    fleet.advance(milliseconds(50));
    fleet.send(0, 51);
    fleet.advance(milliseconds(100));
    EXPECT_EQ(fleet.sound_calls, 1);
}

/// Prompts of one daemon with a common part and an open call each, on different
/// engines.
std::vector<proxy_call> open_calls(proxy_fixture &daemon, std::size_t count)
{
    std::vector<proxy_call> out;
    while (out.size() < count)
    {
        daemon.send_prompt("/once/x",
                           {2000 + out.size(), 30, 5000 + out.size()});
        auto const calls = daemon.advance(milliseconds(20)).proxy_calls;
        EXPECT_EQ(calls.size(), 1U);
        out.insert(out.end(), calls.begin(), calls.end());
        daemon.state.proxy.instances.find(calls.front().instance)
            ->health.ejected_until = daemon.state.now + hours(1);
    }
    return out;
}

bool is_sent(proxy_fixture &daemon, std::uint64_t second_part)
{
    daemon.send_prompt("/once/x", {first_part, second_part, 9999});
    return daemon.advance(milliseconds(20)).proxy_calls.size() == 1;
}

void fail(proxy_fixture &daemon, proxy_call const &call)
{
    daemon.reply_ends(call.attempt, proxy_event_kind::failed_after_send);
}

TEST(prompt_hold, a_cut_of_many_connections_at_once_holds_no_prompt)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 8);
    std::ranges::for_each(calls, [&daemon](proxy_call const &call)
                          { fail(daemon, call); });
    daemon.advance(seconds(1));
    EXPECT_TRUE(is_sent(daemon, 30));
}

TEST(prompt_hold, connections_lost_to_running_engines_hold_no_prompt)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 4);
    auto const others = open_calls(daemon, 4);
    for (std::size_t i = 0; i < 4; ++i)
    {
        // The engine goes on answering another call.
        daemon.state.proxy.requests.find(others[i].attempt)->instance =
            calls[i].instance;
        fail(daemon, calls[i]);
        daemon.advance(milliseconds(100));
        daemon.reply_head(others[i].attempt, 200);
        daemon.advance(milliseconds(400));
    }
    EXPECT_TRUE(is_sent(daemon, 30));
}

TEST(prompt_hold, answers_that_were_long_under_way_hold_no_prompt)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 6);
    for (auto const &call : calls)
    {
        daemon.reply_head(call.attempt, 200);
        for (int event = 1; event <= 6; ++event)
        {
            daemon.reply_bytes(call.attempt, "id: " + std::to_string(event) +
                                                 "\ndata: x\n\n");
            daemon.tick_now();
        }
        fail(daemon, call);
        daemon.advance(milliseconds(500));
    }
    EXPECT_TRUE(is_sent(daemon, 30));
}

TEST(prompt_hold, an_open_call_that_may_have_run_is_ended_but_not_as_not_run)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 4);
    outbox out;
    for (std::size_t i = 0; i < 3; ++i)
    {
        fail(daemon, calls[i]);
        out = daemon.advance(milliseconds(500));
    }
    EXPECT_EQ(std::ranges::count(out.proxy_cancels, calls[3].attempt,
                                 &proxy_cancel::attempt),
              1);
    auto const answer = std::ranges::find(out.proxy_answers, calls[3].request,
                                          &proxy_answer::request);
    ASSERT_NE(answer, out.proxy_answers.end());
    EXPECT_EQ(answer->status, 502);
    EXPECT_FALSE(is_sent(daemon, 30));
    EXPECT_TRUE(is_sent(daemon, 31));
}

TEST(prompt_hold, the_kept_prefill_of_a_held_prompt_is_released)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 4);
    auto &waiting = *daemon.state.proxy.requests.find(calls[3].request);
    waiting.retained_prefill = kept_prefill{"prefill-1", "10.0.2.1:80", "h"};
    outbox out;
    for (std::size_t i = 0; i < 3; ++i)
    {
        fail(daemon, calls[i]);
        out = daemon.advance(milliseconds(500));
    }
    ASSERT_EQ(out.kv_releases.size(), 1U);
    EXPECT_EQ(out.kv_releases.front().handle, "h");
}

TEST(prompt_hold, a_request_that_lost_two_engines_takes_no_third_one)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto routing =
        std::make_shared<routing_configuration>(*daemon.state.proxy.routing);
    routing->routes[0].max_attempts = 6;
    daemon.state.proxy.set_routing(routing);
    daemon.send_prompt("/chat/x", {first_part, 30, 5000});
    int calls = 0;
    for (int i = 0; i < 300; ++i)
    {
        for (auto const &call : daemon.advance(milliseconds(10)).proxy_calls)
        {
            ++calls;
            fail(daemon, call);
        }
    }
    EXPECT_EQ(calls, 2);
}

TEST(prompt_hold, the_end_of_a_crash_without_length_is_no_sound_answer)
{
    proxy_fixture daemon;
    daemon.list_engines(20, engine_role::decode);
    auto const calls = open_calls(daemon, 4);
    for (std::size_t i = 0; i < 3; ++i)
    {
        fail(daemon, calls[i]);
        daemon.advance(milliseconds(400));
        if (i == 1)
        {
            daemon.reply_head(calls[3].attempt, 200);
            daemon.reply_ends(calls[3].attempt, proxy_event_kind::finished);
        }
    }
    EXPECT_FALSE(is_sent(daemon, 30));
}

} // namespace
