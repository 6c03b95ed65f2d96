// Guards against a daemon that learns of changes in the store too late, after
// an outage or between two reads, and against a rate of calls to the store that
// grows with the fleet.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

constexpr duration step = milliseconds(10);

/// Simulated store, idle or unavailable, that answers the reads of a daemon.
class simulated_store
{
public:
    explicit simulated_store(proxy_fixture &daemon) : daemon_(daemon) {}

    /// Start times of the daemon's reads, by table.
    std::map<polled_table, std::vector<instant>> reads;
    /// Number of all reads and writes.
    std::size_t calls = 0;

    /// @param unavailable reads end with their timeout instead of an answer
    void advance(duration time, bool unavailable)
    {
        auto const end = daemon_.state.now + time;
        while (daemon_.state.now < end)
        {
            auto const out = daemon_.advance(step);
            calls += out.row_reads.size() + out.daemon_row_writes.size();
            for (auto const &read : out.row_reads)
            {
                reads[read.table].push_back(daemon_.state.now);
                open_.push_back(
                    {read,
                     daemon_.state.now +
                         (unavailable ? read.timeout : read.long_poll_wait)});
            }
            answer_due(unavailable);
        }
    }

    /// @return longest time between the starts of consecutive reads of a table
    duration longest_gap(polled_table table) const
    {
        auto const &times = reads.at(table);
        duration longest{};
        for (std::size_t i = 1; i < times.size(); ++i)
        {
            longest = std::max(longest, times[i] - times[i - 1]);
        }
        return longest;
    }

private:
    struct open_read
    {
        row_read read;
        instant ends_at{};
    };

    void answer_due(bool unavailable)
    {
        std::erase_if(open_,
                      [this, unavailable](open_read const &item)
                      {
                          if (item.ends_at > daemon_.state.now)
                          {
                              return false;
                          }
                          row_read_reply reply;
                          reply.table = item.read.table;
                          reply.full = item.read.full;
                          reply.outcome = unavailable ? row_outcome::failed
                                                      : row_outcome::answered;
                          reply.version = 1;
                          daemon_.state.in.row_read_replies.push_back(reply);
                          return true;
                      });
    }

    proxy_fixture &daemon_;
    std::vector<open_read> open_;
};

void join_fleet(proxy_fixture &daemon, int size)
{
    for (int i = 1; i <= size; ++i)
    {
        daemon.state.proxy.daemons["edge-" + std::to_string(i)] = {
            daemon.state.now + hours(1), {}, "zone-a"};
    }
}

// A read that starts just before the store recovers is lost with its
// connection; the next one must start within `reconnect_bound`. A daemon that
// read again only after 4 s answered 404 for a route that had been added
// meanwhile.
TEST(proxy_store, a_daemon_asks_again_in_time_after_an_outage)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        proxy_fixture daemon;
        daemon.state.random = random_source(seed);
        simulated_store store(daemon);
        store.advance(seconds(5), false);
        store.reads.clear();
        store.advance(seconds(30), true);
        for (auto const table :
             {polled_table::configuration, polled_table::instances})
        {
            EXPECT_LT(store.longest_gap(table),
                      daemon.state.proxy.limits.reconnect_bound)
                << "seed " << seed;
        }
    }
}

TEST(proxy_store, a_lost_history_does_not_delay_the_next_read)
{
    proxy_fixture daemon;
    simulated_store store(daemon);
    store.advance(seconds(5), false);
    store.advance(seconds(30), true);
    row_read_reply reply;
    reply.table = polled_table::instances;
    reply.full = false;
    reply.outcome = row_outcome::history_lost;
    reply.status = 410;
    daemon.state.in.row_read_replies.push_back(reply);
    auto const out = daemon.tick_now();
    ASSERT_EQ(out.row_reads.size(), 1U);
    EXPECT_TRUE(out.row_reads.front().full);
    EXPECT_EQ(out.row_reads.front().table, polled_table::instances);
}

TEST(proxy_store, leaving_instances_are_seen_within_their_bound)
{
    for (auto const bound : {seconds(2), seconds(3), seconds(4)})
    {
        proxy_fixture daemon;
        daemon.state.proxy.limits.drain_bound = bound;
        simulated_store store(daemon);
        store.advance(seconds(30), false);
        // The margin covers a read from a slow store, up to 0.3 s, and requests
        // that were placed before it and are still on their way.
        EXPECT_LE(store.longest_gap(polled_table::instances),
                  bound - milliseconds(1000));
    }
}

TEST(proxy_store,
     a_daemon_of_a_large_fleet_calls_the_store_less_than_once_a_second)
{
    proxy_fixture daemon;
    daemon.state.proxy.limits.drain_bound = seconds(4);
    daemon.state.proxy.limits.reconnect_bound = seconds(5);
    join_fleet(daemon, 118);
    simulated_store store(daemon);
    store.advance(seconds(60), false);
    EXPECT_LE(store.calls, 60U);
}

} // namespace
