// Guards against daemons that know different instances for good, and against
// requests to instances that have left, when answers of the store and reports
// of neighbours are old, late, lost, repeated or out of order.
#include "proxy_fixture.hpp"
#include "store_view_report.hpp"
#include "versioned_store.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace agateledge;

constexpr duration step = milliseconds(10);
constexpr duration drain_bound = seconds(3);
constexpr duration stable_time = seconds(4);
constexpr int daemon_count = 12;
constexpr int instance_count = 12;
/// Daemons, and instances, on the other side of a cut.
constexpr int cut_count = 5;

/// What may go wrong in a play.
struct play_faults
{
    /// Reads show an earlier state, and the history is lost, now and then.
    bool old_answers = false;
    /// Reports are lost, late, or arrive twice.
    bool reports = false;
    /// Main loops are late, some of them for seconds.
    bool late_loops = false;
    /// Daemons restart.
    bool restarts = false;
    /// The store returns from a copy.
    bool copies = false;
    /// Some daemons and instances are cut off from the store and all others.
    bool cuts = false;
};

/// A fleet that shares its reads, its store, and instances that leave, return
/// under the same id, and are replaced, in virtual time.
class fleet_play
{
public:
    fleet_play(std::uint64_t seed, play_faults faults)
        : random_(seed), faults_(faults)
    {
        for (int i = 1; i <= instance_count; ++i)
        {
            start_instance("desk-" + std::to_string(i));
        }
        for (int i = 1; i <= daemon_count; ++i)
        {
            start_daemon("edge-" + std::to_string(i));
        }
        next_disruption_ = now_ + seconds(3);
        next_change_ = now_ + seconds(3);
    }

    /// Plays changes and faults, and then a time without any.
    void play(duration time)
    {
        for (auto const end = now_ + time; now_ < end;)
        {
            advance(true);
        }
        for (auto const end = now_ + seconds(12); now_ < end;)
        {
            advance(false);
        }
    }

    /// @return daemons whose directory differs from the store's, with the
    ///         instances in which it does
    std::string differences() const
    {
        auto const stored = store_.instances();
        std::string out;
        for (auto const &[name, daemon] : daemons_)
        {
            auto const &known = daemon.fixture->state.proxy.instances.all();
            for (auto const &[id, state] : known)
            {
                auto const found = stored.find(id);
                if (found == stored.end() || found->second != state.definition)
                {
                    out.append(name).append(" has ").append(id).append("; ");
                }
            }
            for (auto const &[id, definition] : stored)
            {
                if (!known.contains(id))
                {
                    out.append(name).append(" lacks ").append(id).append("; ");
                }
            }
        }
        return out;
    }

    /// Longest time from the latest moment at which a request may reach an
    /// instance that has left until one did.
    duration latest_arrival{duration::min()};
    std::string latest_call;
    int arrivals = 0;

private:
    struct event
    {
        instant at{};
        std::function<void()> run;
    };

    /// A reply that a daemon reads when its loop runs.
    struct pending_read
    {
        instant reply_at{};
        instant timeout_at{};
        row_read_reply reply;
    };

    struct daemon
    {
        std::unique_ptr<proxy_fixture> fixture;
        std::uint64_t incarnation = 0;
        std::vector<pending_read> reads;
        bool has_connection = false;
        /// It is cut off until then.
        instant cut_until{};
        instant runs_at{};
        instant late_until{};
    };

    bool happens(double probability) { return random_.uniform() < probability; }

    duration random_time(duration least, duration most)
    {
        return least +
               from_seconds(to_seconds(most - least) * random_.uniform());
    }

    void later(duration delay, std::function<void()> run)
    {
        events_.push_back({now_ + delay, std::move(run)});
    }

    void start_instance(std::string const &id)
    {
        instance_definition item;
        item.id = id;
        item.service = "desk";
        item.address = "10.0.1.1:80";
        item.data_centre = "zone-a";
        item.started_at_ms = ++starts_;
        store_.write(item, now_);
        left_at_.erase(id);
    }

    void start_daemon(std::string const &name)
    {
        auto &item = daemons_[name];
        item = {};
        item.fixture = std::make_unique<proxy_fixture>();
        item.incarnation = static_cast<std::uint64_t>(++starts_);
        auto &state = item.fixture->state;
        state.identity = {name, incarnation_number(item.incarnation), "zone-a",
                          "127.0.0.1:1"};
        state.random = random_source(random_.below(1'000'000) + 1);
        state.now = now_;
        state.proxy.limits.drain_bound = drain_bound;
        state.proxy.limits.reconnect_bound = stable_time;
        state.proxy.limits.configuration_bound = seconds(3);
        state.proxy.peer_address = name;
        for (int i = 1; i <= daemon_count; ++i)
        {
            auto const peer = "edge-" + std::to_string(i);
            state.proxy.daemons[peer] = {now_ + hours(1), peer, "zone-a"};
        }
        item.runs_at = now_;
        item.late_until = now_;
    }

    /// The row of an instance changes: it leaves, has left, returns under its
    /// id, crashes and restarts at once, or serves on.
    void change_instances()
    {
        if (now_ < next_change_)
        {
            return;
        }
        next_change_ = now_ + random_time(step, milliseconds(300));
        auto const id =
            "desk-" + std::to_string(1 + random_.below(instance_count));
        auto const rows = store_.instances();
        auto const row = rows.find(id);
        bool const left = left_at_.contains(id);
        if (row == rows.end())
        {
            // A row that expired in a cut is renewed after it.
            if (left && happens(0.2))
            {
                start_instance(id);
            }
        }
        else if (left)
        {
            store_.remove(id, now_);
        }
        else if (happens(0.05))
        {
            store_.remove(id, now_);
            start_instance(id);
        }
        else if (happens(0.3) && left_at_.size() < instance_count / 2)
        {
            leave(row->second);
        }
        else
        {
            auto changed = row->second;
            changed.reclaimable = !changed.reclaimable;
            store_.write(changed, now_);
        }
    }

    void leave(instance_definition item)
    {
        left_at_[item.id] = now_;
        if (happens(0.5))
        {
            store_.remove(item.id, now_);
            return;
        }
        item.accepts_work = false;
        store_.write(item, now_);
    }

    void disrupt()
    {
        if (now_ < next_disruption_)
        {
            return;
        }
        next_disruption_ = now_ + random_time(seconds(2), seconds(12));
        if (faults_.restarts && happens(0.5))
        {
            start_daemon(any_daemon());
        }
        if (faults_.late_loops && happens(0.5))
        {
            daemons_.at(any_daemon()).late_until = now_ + seconds(4);
        }
        if (faults_.cuts && happens(0.5) && !is_cut(daemons_.at("edge-1")))
        {
            cut();
        }
        if (faults_.copies && happens(0.2))
        {
            store_.restore(now_ - random_time(seconds(1), seconds(3)));
            restore_knowledge();
            disrupted_until_ = std::max(disrupted_until_, now_);
        }
        if (faults_.old_answers && happens(0.5))
        {
            store_.forget_history();
            lag_ = random_time(seconds(1), seconds(6));
            lag_ends_ = now_ + random_time(seconds(1), seconds(6));
            disrupted_until_ = std::max(disrupted_until_, lag_ends_);
        }
    }

    bool is_cut(daemon const &item) const { return now_ < item.cut_until; }

    /// Cuts off some daemons, and instances that serve on but cannot renew
    /// their rows, so that these expire until after the cut.
    void cut()
    {
        auto const ends_at = now_ + random_time(seconds(3), seconds(8));
        for (int i = 1; i <= cut_count; ++i)
        {
            daemons_.at("edge-" + std::to_string(i)).cut_until = ends_at;
            later(random_time(seconds(1), seconds(2)),
                  [this, id = "desk-" + std::to_string(i), ends_at]
                  { expire_row(id, ends_at); });
        }
    }

    /// The row of an instance that serves on expires until after the cut.
    void expire_row(std::string const &id, instant cut_ends_at)
    {
        auto const rows = store_.instances();
        auto const found = rows.find(id);
        if (found == rows.end() || left_at_.contains(id))
        {
            return;
        }
        store_.remove(id, now_);
        later(cut_ends_at + random_time(step, milliseconds(1900)) - now_,
              [this, id, row = found->second]
              {
                  if (!store_.instances().contains(id) &&
                      !left_at_.contains(id))
                  {
                      store_.write(row, now_);
                  }
              });
    }

    /// The instances write again what the copy of the store lacks.
    void restore_knowledge()
    {
        auto const stored = store_.instances();
        for (auto const &[id, item] : stored)
        {
            if (left_at_.contains(id))
            {
                store_.remove(id, now_);
            }
        }
        for (int i = 1; i <= instance_count; ++i)
        {
            auto const id = "desk-" + std::to_string(i);
            if (!stored.contains(id) && !left_at_.contains(id))
            {
                start_instance(id);
            }
        }
    }

    std::string any_daemon()
    {
        return "edge-" + std::to_string(1 + random_.below(daemon_count));
    }

    void advance(bool changes)
    {
        now_ += step;
        if (happens(0.1))
        {
            store_.write(std::nullopt, now_);
        }
        if (changes)
        {
            change_instances();
            disrupt();
        }
        auto const due = std::exchange(events_, {});
        for (auto const &item : due)
        {
            item.at <= now_ ? item.run() : events_.push_back(item);
        }
        for (auto &[name, item] : daemons_)
        {
            if (item.runs_at <= now_)
            {
                run(name, item, changes);
            }
        }
    }

    void run(std::string const &name, daemon &item, bool changes)
    {
        auto &fixture = *item.fixture;
        fixture.state.now = now_;
        auto reads = std::exchange(item.reads, {});
        for (auto &read : reads)
        {
            // A reply that has arrived is read before the timeout is handled.
            if (read.reply_at <= now_)
            {
                item.has_connection = true;
                fixture.state.in.row_read_replies.push_back(read.reply);
            }
            else if (read.timeout_at <= now_)
            {
                item.has_connection = false;
                row_read_reply failure;
                failure.table = read.reply.table;
                failure.full = read.reply.full;
                fixture.state.in.row_read_replies.push_back(failure);
            }
            else
            {
                item.reads.push_back(std::move(read));
            }
        }
        if (happens(0.2))
        {
            fixture.send("/look/1");
        }
        auto const out = fixture.tick_now();
        bool const late = faults_.late_loops && changes &&
                          (now_ < item.late_until || happens(0.005));
        item.runs_at =
            now_ + (late ? random_time(step, milliseconds(700)) : step);
        std::ranges::for_each(out.row_reads, [&](row_read const &read)
                              { send_read(item, read, changes); });
        std::ranges::for_each(out.store_view_reports, [&](auto const &report)
                              { send_report(item, report, changes); });
        std::ranges::for_each(out.proxy_calls, [&](proxy_call const &call)
                              { send_call(name, item, call); });
    }

    void send_read(daemon &item, row_read const &read, bool changes)
    {
        // A connection is established when the loop runs next.
        auto const sent_at = item.has_connection ? now_ : item.runs_at;
        auto const transit = random_time(milliseconds(2), milliseconds(50));
        bool const old =
            faults_.old_answers && now_ < lag_ends_ && happens(0.7);
        auto reply = store_.answer(read, old ? now_ - lag_ : now_);
        bool const lost = faults_.old_answers && changes && happens(0.02);
        if (lost)
        {
            disrupted_until_ = std::max(disrupted_until_, now_);
        }
        auto const reply_at = lost || is_cut(item)
                                  ? instant::max()
                                  : sent_at + 2 * transit + read.long_poll_wait;
        item.reads.push_back({reply_at, now_ + read.timeout, std::move(reply)});
    }

    void send_report(daemon const &from,
                     peer_report<store_view_report> const &sent, bool changes)
    {
        for (auto const &to : sent.to)
        {
            bool const faulty = faults_.reports && changes;
            bool const separated = is_cut(from) != is_cut(daemons_.at(to));
            if (separated || (faulty && happens(0.3)))
            {
                continue;
            }
            auto const copies = faulty && happens(0.1) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
            {
                auto const transit =
                    faulty && happens(0.3)
                        ? random_time(milliseconds(10), milliseconds(700))
                        : milliseconds(10);
                later(transit,
                      [this, to, copy = sent.report] {
                          daemons_.at(to)
                              .fixture->state.in.store_view_reports.push_back(
                                  copy);
                      });
            }
        }
    }

    void send_call(std::string const &name, daemon const &item,
                   proxy_call const &call)
    {
        later(milliseconds(5),
              [this, name, call, incarnation = item.incarnation]
              { end_call(name, incarnation, call); });
    }

    void end_call(std::string const &name, std::uint64_t incarnation,
                  proxy_call const &call)
    {
        auto &item = daemons_.at(name);
        if (item.incarnation != incarnation)
        {
            return;
        }
        if (now_ >= call.send_by)
        {
            item.fixture->reply_ends(call.attempt,
                                     proxy_event_kind::failed_before_send);
            return;
        }
        ++arrivals;
        auto const left = left_at_.find(call.instance);
        if (left != left_at_.end())
        {
            auto const calm_from = std::max(disrupted_until_, item.cut_until);
            auto const allowed_until =
                std::max(left->second + drain_bound, calm_from + stable_time);
            if (now_ - allowed_until > latest_arrival)
            {
                latest_arrival = now_ - allowed_until;
                latest_call = name + " called " + call.instance;
            }
        }
        proxy_reply_head head;
        head.status = 200;
        head.framing = body_framing::length;
        head.is_signed = true;
        item.fixture->reply_head(call.attempt, head);
        item.fixture->reply_ends(call.attempt, proxy_event_kind::finished);
    }

    random_source random_;
    play_faults faults_;
    versioned_store store_;
    instant now_{seconds(100)};
    std::int64_t starts_ = 0;
    std::map<std::string, daemon> daemons_;
    std::map<std::string, instant> left_at_;
    std::vector<event> events_;
    instant next_change_{};
    instant next_disruption_{};
    duration lag_{};
    instant lag_ends_{};
    /// The store had no disruption after this time.
    instant disrupted_until_{};
};

void expect_sound_plays(play_faults const &faults)
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        fleet_play play(seed, faults);
        play.play(seconds(40));
        EXPECT_EQ(play.differences(), "") << "seed " << seed;
        EXPECT_LE(play.latest_arrival, duration(0))
            << "seed " << seed << ": " << play.latest_call;
        EXPECT_GT(play.arrivals, 1000) << "seed " << seed;
    }
}

TEST(directory_fleet, knows_who_has_left_without_faults)
{
    expect_sound_plays({});
}

TEST(directory_fleet, a_removed_instance_is_not_listed_by_an_older_answer)
{
    expect_sound_plays({.old_answers = true});
}

TEST(directory_fleet, a_removed_instance_is_not_listed_by_an_older_report)
{
    expect_sound_plays({.reports = true});
}

TEST(directory_fleet, a_late_loop_sends_nothing_to_an_instance_that_has_left)
{
    expect_sound_plays({.late_loops = true});
}

TEST(directory_fleet, a_report_tells_of_removals_that_its_sender_waits_with)
{
    expect_sound_plays({.cuts = true});
}

TEST(directory_fleet, all_faults_together_end_in_one_view)
{
    expect_sound_plays({.old_answers = true,
                        .reports = true,
                        .late_loops = true,
                        .restarts = true,
                        .cuts = true});
}

TEST(directory_fleet, a_store_that_returns_from_a_copy_ends_in_one_view)
{
    expect_sound_plays({.reports = true, .copies = true});
}

} // namespace
