// Guards against daemons that together send an instance more requests than the
// limit that it names in its replies, and against limits that outlive it.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

/// Time from the first reply that names a limit until it must be kept, and the
/// span over which requests are counted.
constexpr duration settling_time = seconds(3);
constexpr duration counted_span = seconds(4);

/// Daemons that serve bookings at the same endpoints, all of which answer
/// within 10 ms.
class limited_fleet
{
public:
    limited_fleet(int daemons, int endpoints)
    {
        for (int i = 0; i < daemons; ++i)
        {
            members_.push_back(std::make_unique<proxy_fixture>());
            auto &state = members_.back()->state;
            state.identity.name = "edge-" + std::to_string(i);
            state.random = random_source(static_cast<std::uint64_t>(i) + 1);
            members_.back()->list_endpoints(endpoints);
        }
        for (auto &member : members_)
        {
            for (int i = 0; i < daemons; ++i)
            {
                member->state.proxy.daemons["edge-" + std::to_string(i)] = {
                    member->state.now + hours(1), "", "zone-a"};
            }
        }
    }

    /// Sends a request to each daemon every `interval` and answers the calls.
    void play(duration time, duration interval = milliseconds(20))
    {
        for (duration done{}; done < time; done += milliseconds(10))
        {
            for (auto &member : members_)
            {
                if (done % interval == duration(0))
                {
                    member->send("/look/1");
                    ++sent_;
                }
                step(*member);
            }
        }
    }

    /// @return maximum number of calls to the instance in a span that begins
    ///         `since` or later
    int most_calls(std::string const &instance, instant since) const
    {
        auto const &times = calls_.at(instance);
        int most = 0;
        for (auto first = std::ranges::lower_bound(times, since);
             first != times.end(); ++first)
        {
            auto const last =
                std::upper_bound(first, times.end(), *first + counted_span);
            most = std::max(most, static_cast<int>(last - first));
        }
        return most;
    }

    int calls_in(std::string const &instance, instant from, instant to) const
    {
        auto const &times = calls_.at(instance);
        return static_cast<int>(
            std::ranges::count_if(times, [from, to](instant time)
                                  { return time >= from && time < to; }));
    }

    instant now() const { return members_.front()->state.now; }
    proxy_fixture &daemon() { return *members_.front(); }
    int sent() const { return sent_; }
    int answered() const { return answered_; }
    int refused() const { return refused_; }
    duration longest_wait() const { return longest_wait_; }

    /// Limits that the instances name.
    std::map<std::string, double> limits;

private:
    void step(proxy_fixture &member)
    {
        auto const out = member.advance(milliseconds(10));
        for (auto const &call : out.proxy_calls)
        {
            calls_[call.instance].push_back(member.state.now);
            proxy_reply_head head;
            head.status = 200;
            head.is_signed = true;
            if (auto const found = limits.find(call.instance);
                found != limits.end())
            {
                head.request_limit = found->second;
            }
            member.reply_head(call.attempt, head);
            member.reply_ends(call.attempt, proxy_event_kind::finished);
        }
        for (auto const &answer : out.proxy_answers)
        {
            bool const refused = answer.kind == proxy_answer_kind::refused;
            refused_ += refused ? 1 : 0;
            answered_ += refused ? 0 : 1;
        }
        for (auto const &[number, request] : member.state.proxy.requests.all())
        {
            longest_wait_ =
                std::max(longest_wait_, member.state.now - request.arrived_at);
        }
    }

    std::vector<std::unique_ptr<proxy_fixture>> members_;
    std::map<std::string, std::vector<instant>> calls_;
    int sent_ = 0;
    int answered_ = 0;
    int refused_ = 0;
    duration longest_wait_{};
};

/// @return requests that an instance may get in the counted span
int allowed(double limit)
{
    constexpr double excess_factor = 1.5;
    constexpr int excess_requests = 5;
    return static_cast<int>(excess_factor * limit * to_seconds(counted_span)) +
           excess_requests;
}

TEST(proxy_limit, the_daemons_together_keep_to_the_limit_of_an_instance)
{
    for (int const daemons : {1, 4, 5, 12, 29})
    {
        for (double const limit : {0.0, 0.4, 3.8, 18.3})
        {
            limited_fleet fleet(daemons, 4);
            fleet.play(seconds(1));
            auto const named_at = fleet.now();
            fleet.limits["desk-1"] = limit;
            fleet.play(seconds(16));
            EXPECT_LE(fleet.most_calls("desk-1", named_at + settling_time),
                      allowed(limit))
                << daemons << " daemons, limit " << limit;
            EXPECT_EQ(fleet.answered() + fleet.refused(), fleet.sent());
        }
    }
}

TEST(proxy_limit, an_instance_gets_most_of_what_it_takes)
{
    limited_fleet fleet(5, 4);
    fleet.limits = {{"desk-1", 8.0}};
    fleet.play(seconds(4));
    auto const from = fleet.now();
    fleet.play(seconds(10));
    EXPECT_GE(fleet.calls_in("desk-1", from, fleet.now()), 64);
}

TEST(proxy_limit, a_limit_ends_when_replies_no_longer_name_it)
{
    limited_fleet fleet(5, 2);
    fleet.limits = {{"desk-1", 4.0}, {"desk-2", 4.0}};
    fleet.play(seconds(4));
    fleet.limits.clear();
    fleet.play(seconds(4));
    auto const refused = fleet.refused();
    fleet.play(seconds(2));
    EXPECT_EQ(fleet.refused(), refused);
}

TEST(proxy_limit, a_service_whose_instances_are_all_limited_refuses_at_once)
{
    limited_fleet fleet(5, 2);
    fleet.limits = {{"desk-1", 4.0}, {"desk-2", 4.0}};
    fleet.play(seconds(8));
    EXPECT_GT(fleet.refused(), fleet.sent() / 2);
    // The requests that are held have a turn before their deadline of 5 s.
    EXPECT_LT(fleet.longest_wait(), seconds(5));
    EXPECT_LE(fleet.most_calls("desk-1", fleet.now() - seconds(5)),
              allowed(4.0));
}

/// Sends a request and waits for its call.
proxy_call call_of(proxy_fixture &daemon)
{
    daemon.send("/look/1");
    auto const calls = daemon.advance(milliseconds(10)).proxy_calls;
    EXPECT_EQ(calls.size(), 1U);
    return calls.empty() ? proxy_call{} : calls.front();
}

void answer(proxy_fixture &daemon, proxy_call const &call,
            std::optional<double> limit)
{
    proxy_reply_head head;
    head.status = 200;
    head.is_signed = true;
    head.request_limit = limit;
    daemon.reply_head(call.attempt, head);
    daemon.reply_ends(call.attempt, proxy_event_kind::finished);
    daemon.advance(milliseconds(10));
}

/// @return calls for ten requests within 0.1 s
std::size_t calls_for_ten(proxy_fixture &daemon)
{
    std::size_t calls = 0;
    for (int i = 0; i < 10; ++i)
    {
        daemon.send("/look/1");
        calls += daemon.advance(milliseconds(10)).proxy_calls.size();
    }
    return calls;
}

TEST(proxy_limit, an_earlier_reply_that_arrives_late_does_not_end_it)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    auto const early = call_of(daemon);
    answer(daemon, call_of(daemon), 1.0);
    answer(daemon, early, std::nullopt);
    EXPECT_LE(calls_for_ten(daemon), 1U);
}

TEST(proxy_limit, an_earlier_reply_that_arrives_late_does_not_bring_it_back)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    answer(daemon, call_of(daemon), 50.0);
    daemon.advance(seconds(1));
    auto const early = call_of(daemon);
    daemon.advance(seconds(1));
    answer(daemon, call_of(daemon), std::nullopt);
    answer(daemon, early, 1.0);
    EXPECT_EQ(calls_for_ten(daemon), 10U);
}

TEST(proxy_limit, a_new_incarnation_has_none)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    auto instance = daemon.state.proxy.instances.find("desk-1")->definition;
    instance.started_at_ms = 1;
    daemon.list(instance);
    answer(daemon, call_of(daemon), 1.0);
    instance.started_at_ms = 2;
    daemon.list(instance);
    EXPECT_EQ(calls_for_ten(daemon), 10U);
}

TEST(proxy_limit, it_outlives_an_entry_that_disappears_and_returns)
{
    proxy_fixture daemon;
    daemon.list_endpoints(1);
    auto const instance =
        daemon.state.proxy.instances.find("desk-1")->definition;
    answer(daemon, call_of(daemon), 1.0);
    daemon.instances_changed({}, {"desk-1"});
    daemon.list(instance);
    EXPECT_LE(calls_for_ten(daemon), 1U);
}

} // namespace
