// Guards against a rate of calls to the store that grows with the fleet, and
// against daemons whose view of the store becomes older than its bounds because
// they rely on others that ended, were cut off, or whose datagrams were lost.
#include "proxy_fixture.hpp"
#include "share_store_reads.hpp"
#include "store_view_codec.hpp"
#include "store_view_report.hpp"
#include "store_view_state.hpp"
#include "tick.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace agateledge;

constexpr duration step = milliseconds(10);
constexpr duration transit = milliseconds(10);

instance_definition engine(std::string const &id, bool accepts_work = true)
{
    instance_definition out;
    out.id = id;
    out.service = "models";
    out.address = "10.0.0.1:80";
    out.data_centre = "zone-a";
    out.accepts_work = accepts_work;
    out.started_at_ms = 1;
    return out;
}

/// Daemons of one data centre with the store that they read. The version rises
/// with each step, as engines write their rows all the time.
class fleet
{
public:
    explicit fleet(int size)
    {
        instances["e-1"] = {1, engine("e-1")};
        for (int i = 1; i <= size; ++i)
        {
            auto const name = "edge-" + std::to_string(i);
            auto daemon = std::make_unique<world>(
                daemon_identity{name, incarnation_number(1), "zone-a",
                                "127.0.0.1:1"},
                static_cast<std::uint64_t>(i));
            daemon->proxy.enabled = true;
            daemon->proxy.limits.drain_bound = seconds(3);
            daemon->proxy.limits.reconnect_bound = seconds(4);
            daemon->proxy.limits.configuration_bound = seconds(3);
            daemon->proxy.peer_address = name;
            daemons[name] = std::move(daemon);
        }
        for (auto &[name, daemon] : daemons)
        {
            for (auto const &[peer, other] : daemons)
            {
                daemon->proxy.daemons[peer] = {now + hours(1), peer, "zone-a"};
            }
        }
    }

    std::map<std::string, std::unique_ptr<world>> daemons;
    std::map<std::string, std::pair<std::uint64_t, instance_definition>>
        instances;
    std::uint64_t version = 1000;
    std::uint64_t era = 1;
    std::uint64_t configuration = 1;
    /// Version of the row with the configuration.
    std::uint64_t configuration_row = 1;
    std::size_t calls = 0;
    /// Daemons that do not run.
    std::function<bool(std::string const &)> is_stopped = [](auto const &)
    { return false; };
    /// Daemons that the store refuses.
    std::function<bool(std::string const &)> is_refused = [](auto const &)
    { return false; };
    /// The store does not answer, so that reads end with their timeouts.
    bool is_silent = false;
    /// Read calls that the store answers in each step; it refuses further ones.
    std::size_t reads_per_step = 1'000'000;
    /// Pages of a full read of the instances.
    int pages = 1;
    std::function<bool()> loses_datagram = [] { return false; };
    /// Store calls that are answered only after this time.
    duration answer_time = step;
    instant now{seconds(100)};

    void advance(duration time)
    {
        for (auto const end = now + time; now < end;)
        {
            now += step;
            ++version;
            reads_left_ = reads_per_step;
            deliver_due();
            for (auto &[name, daemon] : daemons)
            {
                if (!is_stopped(name))
                {
                    tick(*daemon, now);
                    handle(name, std::exchange(daemon->out, {}));
                }
            }
        }
    }

    void drain(std::string const &id)
    {
        instances[id] = {++version, engine(id, false)};
    }

    void configure(std::uint64_t number)
    {
        configuration = number;
        configuration_row = ++version;
    }

    std::vector<std::string> readers() const
    {
        std::vector<std::string> out;
        for (auto const &[name, daemon] : daemons)
        {
            if (!is_stopped(name) && store_view_of(*daemon).is_reader)
            {
                out.push_back(name);
            }
        }
        return out;
    }

    /// @return true when all daemons are ready, but for their shutdown
    bool all_ready() const
    {
        return std::ranges::all_of(
            daemons,
            [](auto const &item)
            {
                auto const &proxy = item.second->proxy;
                return proxy.routing->version != 0 &&
                       proxy.table_polls.at(1).fully_read &&
                       has_checked_neighbours(*item.second);
            });
    }

    /// @return true when all running daemons know that the engine drains
    bool all_know_drain(std::string const &id) const
    {
        return std::ranges::all_of(
            daemons,
            [&](auto const &item)
            {
                auto const *found = item.second->proxy.instances.find(id);
                return is_stopped(item.first) || found == nullptr ||
                       !found->definition.accepts_work;
            });
    }

    bool all_have(std::uint64_t number) const
    {
        return std::ranges::all_of(
            daemons,
            [&](auto const &item)
            {
                return is_stopped(item.first) ||
                       item.second->proxy.routing->version == number;
            });
    }

private:
    struct event
    {
        instant at{};
        std::function<void()> run;
    };

    struct held_read
    {
        std::string name;
        row_read read;
        instant until{};
    };

    void deliver_due()
    {
        auto const due = std::exchange(events_, {});
        for (auto const &item : due)
        {
            item.at <= now ? item.run() : events_.push_back(item);
        }
        auto const held = std::exchange(held_, {});
        for (auto const &item : held)
        {
            bool const changed = configuration_row > item.read.after_version;
            changed || item.until <= now ? answer(item.name, item.read)
                                         : held_.push_back(item);
        }
    }

    void handle(std::string const &name, outbox const &out)
    {
        calls += out.row_reads.size() + out.daemon_row_writes.size();
        for (auto const &read : out.row_reads)
        {
            read.long_poll_wait.count() > 0 && !is_refused(name)
                ? held_.push_back({name, read, now + read.long_poll_wait})
                : answer(name, read);
        }
        for (auto const &sent : out.store_view_reports)
        {
            for (auto const &to : sent.to)
            {
                if (!loses_datagram())
                {
                    auto const report =
                        decode_store_view(encode_store_view(*sent.report));
                    ASSERT_EQ(report, *sent.report);
                    later(transit,
                          [this, to, copy = sent.report] {
                              daemons.at(to)->in.store_view_reports.push_back(
                                  copy);
                          });
                }
            }
        }
        for (auto const &fetch : out.configuration_fetches)
        {
            later(transit,
                  [this, name, from = fetch.peer]
                  {
                      auto &state = store_view_of(*daemons.at(name)).fetch;
                      state.in_flight = false;
                      if (!is_stopped(from))
                      {
                          state.received = daemons.at(from)->proxy.routing;
                          state.start_check_done = true;
                      }
                  });
        }
    }

    void answer(std::string const &name, row_read const &read)
    {
        row_read_reply reply;
        reply.table = read.table;
        reply.full = read.full;
        reply.store_era = era;
        reply.outcome =
            is_refused(name) ? row_outcome::refused : row_outcome::answered;
        reply.version = version;
        if (is_silent || reads_left_ == 0)
        {
            reply.outcome = row_outcome::failed;
            reply.store_era = is_silent ? 0 : era;
        }
        else
        {
            --reads_left_;
        }
        if (reply.outcome == row_outcome::answered)
        {
            add_rows(reply, read.full ? 0 : read.after_version);
        }
        if (read.table == polled_table::instances && read.full)
        {
            auto const page = 1 + std::atoi(read.after_key.c_str());
            reply.truncated = page < pages;
            reply.last_key = std::to_string(page);
        }
        later(is_silent ? read.timeout : answer_time, [this, name, reply]
              { daemons.at(name)->in.row_read_replies.push_back(reply); });
    }

    void add_rows(row_read_reply &reply, std::uint64_t after) const
    {
        if (reply.table == polled_table::configuration &&
            configuration_row > after)
        {
            routing_configuration next;
            next.version = configuration;
            reply.configuration =
                std::make_shared<routing_configuration const>(next);
        }
        for (auto const &[id, row] : instances)
        {
            if (reply.table == polled_table::instances && row.first > after)
            {
                reply.instances.push_back(
                    {id, row.first,
                     std::make_shared<instance_definition const>(row.second),
                     false});
            }
        }
    }

    void later(duration delay, std::function<void()> run)
    {
        events_.push_back({now + delay, std::move(run)});
    }

    std::size_t reads_left_ = 0;
    std::vector<event> events_;
    std::vector<held_read> held_;
};

/// A drain must be known, with a read from a slow store, within 2.7 s, and a
/// configuration within 2.9 s, so that both bounds of 3 s hold.
constexpr duration drain_time = milliseconds(2700);
constexpr duration configuration_time = milliseconds(2900);

void expect_changes_in_time(fleet &all, std::string const &what)
{
    all.instances["e-2"] = {++all.version, engine("e-2")};
    all.advance(drain_time);
    all.drain("e-2");
    all.advance(drain_time);
    EXPECT_TRUE(all.all_know_drain("e-2")) << what;
    all.configure(all.configuration + 1);
    all.advance(configuration_time);
    EXPECT_TRUE(all.all_have(all.configuration)) << what;
}

TEST(share_store_reads, calls_do_not_grow_with_the_fleet)
{
    for (int const size : {30, 86, 300})
    {
        fleet all(size);
        all.advance(seconds(6));
        all.calls = 0;
        all.advance(seconds(20));
        EXPECT_EQ(all.readers().size(), 2U);
        auto const rate = static_cast<double>(all.calls) / 20;
        std::cout << size << " daemons: " << rate << " calls a second\n";
        // Two readers, and the rows of the daemons, which each daemon reads and
        // writes every 5 s, or up to 20 s in larger fleets.
        EXPECT_LE(rate, 4 + 0.5 * std::min(size, 60));
        expect_changes_in_time(all, "all daemons run");
    }
}

TEST(share_store_reads, a_fleet_of_nine_keeps_its_schedule)
{
    fleet all(9);
    all.advance(seconds(20));
    EXPECT_TRUE(all.readers().empty());
    EXPECT_GE(all.calls, 9U * 20U);
}

TEST(share_store_reads, a_change_is_known_when_readers_end)
{
    for (std::size_t const ended : {1U, 2U})
    {
        fleet all(30);
        all.advance(seconds(6));
        auto readers = all.readers();
        ASSERT_EQ(readers.size(), 2U);
        readers.resize(ended);
        all.is_stopped = [readers](std::string const &name)
        { return std::ranges::count(readers, name) != 0; };
        expect_changes_in_time(all, std::to_string(ended) + " readers ended");
        all.advance(seconds(2));
        EXPECT_EQ(all.readers().size(), 2U);
    }
}

TEST(share_store_reads, a_change_is_known_when_the_store_refuses_the_readers)
{
    fleet all(30);
    all.advance(seconds(6));
    auto const readers = all.readers();
    all.is_refused = [readers](std::string const &name)
    { return std::ranges::count(readers, name) != 0; };
    expect_changes_in_time(all, "readers refused");
}

TEST(share_store_reads, a_change_is_known_when_datagrams_are_lost)
{
    for (int const kept : {0, 1, 2})
    {
        fleet all(30);
        all.advance(seconds(6));
        random_source random(7);
        all.loses_datagram = [&random, kept]
        { return random.below(4) >= static_cast<std::uint64_t>(kept); };
        expect_changes_in_time(all,
                               std::to_string(kept) + " of 4 datagrams arrive");
    }
}

// A host that was frozen finds the datagrams of the past in its socket. They
// look recent if only their own ages are believed.
TEST(share_store_reads, datagrams_that_waited_unread_are_not_recent)
{
    transit_delay delay;
    EXPECT_FALSE(delay.add(seconds(10), instant(seconds(500))));
    EXPECT_EQ(delay.add(seconds(11), instant(seconds(501))), duration(0));
    EXPECT_EQ(delay.add(seconds(12), instant(seconds(540))), seconds(38));
    EXPECT_EQ(delay.add(seconds(50), instant(seconds(540))), duration(0));
}

// A key is withdrawn while the store refuses some daemons: they hear of the
// version and take it from a neighbour.
TEST(share_store_reads, a_refused_daemon_takes_the_configuration_of_a_neighbour)
{
    fleet all(30);
    all.advance(seconds(6));
    auto const readers = all.readers();
    all.is_refused = [readers](std::string const &name)
    { return std::ranges::count(readers, name) == 0; };
    all.advance(seconds(5));
    all.configure(2);
    all.advance(seconds(1));
    EXPECT_TRUE(all.all_have(2));
    // Nobody reads for the others now, and one daemon in three can.
    all.is_refused = [readers](std::string const &name)
    { return std::ranges::count(readers, name) != 0 || name.back() > '2'; };
    all.configure(3);
    all.advance(configuration_time);
    EXPECT_TRUE(all.all_have(3));
    // One daemon is refused and no datagram arrives.
    all.is_refused = [](std::string const &name) { return name == "edge-7"; };
    all.loses_datagram = [] { return true; };
    all.advance(seconds(5));
    all.configure(4);
    all.advance(configuration_time + seconds(1));
    EXPECT_TRUE(all.all_have(4));
}

TEST(share_store_reads, a_daemon_that_starts_takes_the_newest_configuration)
{
    fleet all(30);
    all.configure(5);
    all.advance(seconds(6));
    // The store returns from a copy with an older configuration.
    all.era = 2;
    all.version = 900;
    all.configuration = 4;
    all.configuration_row = 800;
    all.advance(seconds(2));
    EXPECT_TRUE(all.all_have(5));
    auto &restarted = *all.daemons.at("edge-7");
    auto const peers = restarted.proxy.daemons;
    auto fresh = std::make_unique<world>(restarted.identity, 99U);
    fresh->proxy.enabled = true;
    fresh->proxy.daemons = peers;
    fresh->proxy.peer_address = "edge-7";
    all.daemons.at("edge-7") = std::move(fresh);
    all.advance(milliseconds(300));
    EXPECT_TRUE(all.all_have(5));
}

// After a power failure, 300 daemons that wait for a silent store all read
// 3,000 instances at once when it returns.
TEST(share_store_reads, a_fleet_that_starts_is_ready_when_the_store_answers)
{
    fleet all(300);
    all.pages = 6;
    all.reads_per_step = 60;
    all.is_silent = true;
    all.advance(seconds(6));
    all.is_silent = false;
    auto const from = all.now;
    while (!all.all_ready() && all.now < from + seconds(5))
    {
        all.advance(step);
    }
    std::cout << "ready after " << to_seconds(all.now - from) << " s\n";
    EXPECT_LE(all.now, from + seconds(2));
}

} // namespace
