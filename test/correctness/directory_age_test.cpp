// Guards against requests by a directory that is older than the drain bound
// allows while the store answers, and against an age that is taken for less
// than it is.
#include "proxy_fixture.hpp"
#include "proxy_metrics_text.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace
{

using namespace agateledge;

/// A daemon with endpoints whose directory has been read.
class reading_daemon : public proxy_fixture
{
public:
    reading_daemon()
    {
        state.proxy.limits.drain_bound = seconds(3);
        list_endpoints(3);
        state.proxy.table_polls.at(1).fully_read = true;
        await_read();
        end_read(row_outcome::answered);
        await_read();
    }

    /// Advances until a read of the instances is sent.
    void await_read()
    {
        while (!std::ranges::any_of(
            advance(milliseconds(10)).row_reads, [](row_read const &read)
            { return read.table == polled_table::instances; }))
        {
        }
    }

    /// Supplies the end of the read in flight.
    void end_read(row_outcome outcome)
    {
        row_read_reply reply;
        reply.table = polled_table::instances;
        reply.full = false;
        reply.outcome = outcome;
        reply.version = 100;
        state.in.row_read_replies.push_back(reply);
    }

    /// @return calls that are sent for a new request
    std::size_t calls_of_a_request()
    {
        send("/look/1");
        return tick_now().proxy_calls.size();
    }
};

TEST(directory_age, a_reply_that_a_late_loop_has_not_read_keeps_the_bound)
{
    reading_daemon daemon;
    daemon.state.now += seconds(3);
    EXPECT_EQ(daemon.calls_of_a_request(), 0U);
    daemon.end_read(row_outcome::answered);
    daemon.await_read();
    EXPECT_EQ(daemon.advance(milliseconds(30)).proxy_calls.size(), 0U);
    EXPECT_EQ(daemon.calls_of_a_request(), 0U);
    daemon.end_read(row_outcome::answered);
    EXPECT_EQ(daemon.advance(milliseconds(30)).proxy_calls.size(), 2U);
}

TEST(directory_age, reads_that_a_late_loop_failed_keep_the_bound)
{
    reading_daemon daemon;
    for (int i = 0; i < 2; ++i)
    {
        daemon.state.now += milliseconds(1500);
        daemon.end_read(row_outcome::failed);
        daemon.await_read();
    }
    EXPECT_EQ(daemon.calls_of_a_request(), 0U);
}

TEST(directory_age, an_outage_of_the_store_lifts_the_bound)
{
    reading_daemon daemon;
    for (int i = 0; i < 8; ++i)
    {
        daemon.advance(milliseconds(300));
        daemon.end_read(row_outcome::failed);
        daemon.await_read();
    }
    EXPECT_EQ(daemon.calls_of_a_request(), 1U);
}

TEST(directory_age, counts_from_the_send_of_the_read)
{
    reading_daemon daemon;
    daemon.advance(milliseconds(500));
    daemon.end_read(row_outcome::answered);
    daemon.tick_now();
    EXPECT_NE(
        proxy_metrics_text(daemon.state).find("directory_age_seconds 0.5"),
        std::string::npos);
}

} // namespace
