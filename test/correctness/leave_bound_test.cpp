// Guards against requests that reach an instance later than the drain bound
// after the store accepted that it leaves.
#include "proxy_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int instance_count = 6;
constexpr duration play_time = seconds(40);
constexpr duration request_interval = milliseconds(20);

/// A store, a network and instances around one daemon, in virtual time. Reads
/// take as long as those of a slow store, some answers are lost, connections
/// are established just before their timeout, and ticks are late.
class leaving_play
{
public:
    leaving_play(std::uint64_t seed, duration bound) : random_(seed)
    {
        daemon_.state.random = random_source(seed + 1);
        daemon_.state.proxy.limits.drain_bound = bound;
        daemon_.state.proxy.limits.reconnect_bound = bound + seconds(1);
        for (int i = 1; i <= instance_count; ++i)
        {
            add_instance(i);
        }
    }

    /// Plays until `play_time` has passed.
    ///
    /// @return longest time from the acceptance of a leave to the arrival of a
    ///         request at that instance
    duration latest_arrival()
    {
        play_until(daemon_.state.now + play_time);
        return latest_;
    }

    /// Cuts the daemon off from the store; half of the instances end meanwhile
    /// without announcing it. The other half serves on.
    ///
    /// @return longest time from the end of the cut to the arrival of a request
    ///         at an instance that has ended
    duration latest_arrival_after_cut()
    {
        next_leave_ = instant::max();
        loses_answers_ = false;
        auto const cut_begins_at =
            daemon_.state.now + random_time(seconds(3), seconds(4));
        cut_ends_at_ =
            cut_begins_at + random_time(milliseconds(5500), seconds(8));
        play_until(cut_begins_at);
        cut_off_ = true;
        play_until(cut_begins_at + seconds(2));
        for (int i = 0; i < instance_count / 2; ++i)
        {
            auto &item = std::next(rows_.begin(), 2 * i)->second;
            item.removed = true;
            item.version = ++version_;
            left_at_[item.definition.id] = cut_ends_at_;
        }
        play_until(cut_ends_at_);
        cut_off_ = false;
        play_until(cut_ends_at_ + seconds(10));
        return latest_;
    }

    /// Requests that arrived at an instance.
    int arrivals = 0;

private:
    struct row
    {
        instance_definition definition;
        std::uint64_t version = 0;
        bool removed = false;
    };

    struct pending_reply
    {
        instant at{};
        row_read_reply reply;
    };

    struct pending_connect
    {
        instant at{};
        proxy_call call;
    };

    void play_until(instant end)
    {
        while (daemon_.state.now < end)
        {
            step();
        }
    }

    void add_instance(int number)
    {
        instance_definition item;
        item.id = "desk-" + std::to_string(number);
        item.service = "desk";
        item.address = "10.0.1." + std::to_string(number) + ":80";
        item.data_centre = "zone-a";
        item.started_at_ms = number;
        rows_[item.id] = {item, ++version_};
    }

    bool happens(double probability) { return random_.uniform() < probability; }

    duration random_time(duration least, duration most)
    {
        return least +
               from_seconds(to_seconds(most - least) * random_.uniform());
    }

    /// One instance leaves, and the one that left before returns as a new
    /// start.
    void replace_leaver()
    {
        if (daemon_.state.now < next_leave_)
        {
            return;
        }
        next_leave_ = daemon_.state.now +
                      daemon_.state.proxy.limits.drain_bound +
                      random_time(seconds(1), milliseconds(2500));
        for (auto &[id, left_at] : std::exchange(left_at_, {}))
        {
            auto &item = rows_.at(id);
            item.definition.accepts_work = true;
            item.definition.started_at_ms += 100;
            item.version = ++version_;
        }
        auto &leaver = std::next(rows_.begin(),
                                 static_cast<int>(random_.below(rows_.size())))
                           ->second;
        leaver.definition.accepts_work = false;
        leaver.version = ++version_;
        left_at_[leaver.definition.id] = daemon_.state.now;
    }

    row_read_reply reply_to(row_read const &read)
    {
        row_read_reply reply;
        reply.table = read.table;
        reply.full = read.full;
        reply.outcome = row_outcome::answered;
        reply.status = 200;
        reply.version = version_;
        if (read.table == polled_table::instances)
        {
            for (auto const &[id, item] : rows_)
            {
                bool const changed = item.version > read.after_version;
                if (item.removed ? !read.full && changed : read.full || changed)
                {
                    reply.instances.push_back(
                        {id, item.version,
                         item.removed
                             ? nullptr
                             : std::make_shared<instance_definition const>(
                                   item.definition),
                         false});
                }
            }
        }
        return reply;
    }

    void answer_later(row_read const &read)
    {
        auto const transit = random_time(milliseconds(2), milliseconds(110));
        auto reply = reply_to(read);
        auto ends_at =
            daemon_.state.now + transit + read.long_poll_wait + transit;
        // A lost answer is followed by one that is not lost.
        auto &lost = lost_[read.table];
        lost = cut_off_ || (loses_answers_ && !lost && happens(0.3));
        if (lost)
        {
            reply = {};
            reply.table = read.table;
            reply.full = read.full;
            ends_at = daemon_.state.now + read.timeout;
        }
        replies_.push_back({ends_at, std::move(reply)});
    }

    void connect_later(proxy_call const &call)
    {
        auto const time = happens(0.2) ? call.connect_timeout - milliseconds(1)
                                       : milliseconds(2);
        connects_.push_back({daemon_.state.now + time, call});
    }

    void end_call(proxy_call const &call)
    {
        constexpr duration transit = milliseconds(5);
        if (daemon_.state.now >= call.send_by)
        {
            daemon_.reply_ends(call.attempt,
                               proxy_event_kind::failed_before_send);
            return;
        }
        ++arrivals;
        auto const left = left_at_.find(call.instance);
        if (left != left_at_.end())
        {
            latest_ =
                std::max(latest_, daemon_.state.now + transit - left->second);
        }
        proxy_reply_head head;
        head.status = 200;
        head.framing = body_framing::length;
        head.is_signed = true;
        daemon_.reply_head(call.attempt, head);
        daemon_.reply_ends(call.attempt, proxy_event_kind::finished);
    }

    void deliver_due()
    {
        auto const now = daemon_.state.now;
        std::erase_if(replies_,
                      [this, now](pending_reply const &item)
                      {
                          if (item.at > now)
                          {
                              return false;
                          }
                          daemon_.state.in.row_read_replies.push_back(
                              item.reply);
                          return true;
                      });
        std::erase_if(connects_,
                      [this, now](pending_connect const &item)
                      {
                          if (item.at > now)
                          {
                              return false;
                          }
                          end_call(item.call);
                          return true;
                      });
    }

    void step()
    {
        constexpr duration regular = milliseconds(5);
        daemon_.state.now +=
            happens(0.005) ? random_time(regular, milliseconds(400)) : regular;
        replace_leaver();
        deliver_due();
        if (next_request_ <= daemon_.state.now)
        {
            next_request_ = daemon_.state.now + request_interval;
            daemon_.send("/look/1");
        }
        auto const out = daemon_.tick_now();
        std::ranges::for_each(out.row_reads, [this](row_read const &read)
                              { answer_later(read); });
        std::ranges::for_each(out.proxy_calls, [this](proxy_call const &call)
                              { connect_later(call); });
    }

    proxy_fixture daemon_;
    random_source random_;
    std::map<std::string, row> rows_;
    std::uint64_t version_ = 1;
    std::map<std::string, instant> left_at_;
    std::vector<pending_reply> replies_;
    std::vector<pending_connect> connects_;
    instant next_leave_{};
    instant cut_ends_at_{};
    bool cut_off_ = false;
    bool loses_answers_ = true;
    instant next_request_{};
    std::map<polled_table, bool> lost_;
    duration latest_{};
};

TEST(leave_bound, no_request_reaches_an_instance_after_the_drain_bound)
{
    for (auto const bound : {seconds(2), seconds(3), seconds(4)})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            leaving_play play(seed, bound);
            EXPECT_LE(play.latest_arrival(), duration(bound))
                << "seed " << seed;
            EXPECT_GT(play.arrivals, 1000) << "seed " << seed;
        }
    }
}

TEST(leave_bound, instances_that_ended_behind_a_cut_get_no_request_after_it)
{
    for (auto const bound : {seconds(2), seconds(3)})
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
        {
            leaving_play play(seed, bound);
            EXPECT_LE(play.latest_arrival_after_cut(),
                      duration(bound + seconds(1)))
                << "seed " << seed;
            EXPECT_GT(play.arrivals, 300) << "seed " << seed;
        }
    }
}

} // namespace
