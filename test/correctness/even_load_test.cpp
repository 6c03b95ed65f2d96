// Guards against engines that are overrun in turns while others idle, because
// many daemons choose at the same time from the same picture of the load, which
// is some hundred milliseconds old.
#include "random_source.hpp"
#include "reported_load.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

enum class strategy
{
    /// All engines by the load as it was reported.
    all_reported,
    /// Two engines at random by the load as it was reported.
    two_reported,
    /// The shipped choice: two ranked engines by what is left of the load.
    two_remaining,
};

struct scenario
{
    std::uint64_t daemons = 0;
    std::size_t engines = 0;
    duration report_interval{};
};

struct outcome
{
    /// Largest ratio of an engine's prompts to its fair part by speed in a
    /// second, averaged over the seconds.
    double spread = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double late_share = 0;
};

constexpr double run_ms = 20'000;
constexpr double mean_tokens = 2500;
constexpr double max_tokens = 12'000;
constexpr double utilisation = 0.5;
constexpr double target_ms = 300;

/// Fleet whose daemons all get a report of the load at the same times and
/// otherwise know only what they sent themselves.
class fleet
{
public:
    fleet(scenario const &setting, strategy used)
        : setting_(setting), used_(used), free_at_(setting.engines),
          reported_(setting.engines),
          own_(setting.daemons, std::vector<double>(setting.engines)),
          window_(setting.engines)
    {
        constexpr std::array<double, 3> speeds{0.6, 1.0, 1.6};
        constexpr double tokens_per_ms = 61;
        for (std::size_t i = 0; i < setting.engines; ++i)
        {
            speed_.push_back(tokens_per_ms * speeds.at(i % speeds.size()));
            names_.push_back("engine-" + std::to_string(i));
            capacity_ += speed_.back();
        }
    }

    outcome run()
    {
        auto const interval = to_seconds(setting_.report_interval) * 1e3;
        auto const arrivals_per_ms = utilisation * capacity_ / mean_tokens;
        double next_report = 0;
        double next_window = 1000;
        for (double now = 0; now < run_ms;
             now += exponential(1 / arrivals_per_ms))
        {
            for (; now >= next_report; next_report += interval)
            {
                report(next_report);
            }
            for (; now >= next_window; next_window += 1000)
            {
                end_window();
            }
            place(now, now - (next_report - interval));
        }
        return result();
    }

private:
    double exponential(double mean)
    {
        return -std::log(1 - random_.uniform()) * mean;
    }

    void report(double now)
    {
        for (std::size_t i = 0; i < speed_.size(); ++i)
        {
            reported_[i] = std::max(free_at_[i] - now, 0.0) * speed_[i];
        }
        std::ranges::for_each(own_, [](std::vector<double> &sent)
                              { std::ranges::fill(sent, 0.0); });
    }

    double predicted_ms(std::size_t engine, std::vector<double> const &own,
                        double tokens, double age_ms) const
    {
        auto const speed = speed_[engine];
        auto const backlog =
            used_ == strategy::two_remaining
                ? remaining_tokens(reported_[engine],
                                   from_seconds(age_ms / 1e3), speed)
                : reported_[engine];
        return (backlog + own[engine] + tokens) / speed;
    }

    std::vector<std::size_t> candidates()
    {
        std::vector<std::size_t> out(speed_.size());
        for (std::size_t i = 0; i < out.size(); ++i)
        {
            out[i] = i;
        }
        if (used_ == strategy::two_reported)
        {
            return {random_.below(out.size()), random_.below(out.size())};
        }
        if (used_ == strategy::two_remaining)
        {
            auto const part = random_();
            std::ranges::partial_sort(
                out, out.begin() + 2, {},
                [this, part](std::size_t i)
                { return prompt_rank_score(part, names_[i], speed_[i]); });
            out.resize(2);
        }
        return out;
    }

    void place(double now, double age_ms)
    {
        auto &own = own_[random_.below(setting_.daemons)];
        auto const tokens = std::min(exponential(mean_tokens), max_tokens);
        std::size_t best = 0;
        double least = std::numeric_limits<double>::max();
        for (auto const engine : candidates())
        {
            constexpr double jitter_ms = 3;
            auto const cost = predicted_ms(engine, own, tokens, age_ms) +
                              jitter_ms * random_.uniform();
            if (cost < least)
            {
                best = engine;
                least = cost;
            }
        }
        free_at_[best] = std::max(free_at_[best], now) + tokens / speed_[best];
        own[best] += tokens;
        window_[best] += tokens;
        waits_.push_back(free_at_[best] - now);
    }

    void end_window()
    {
        double sum = 0;
        double highest = 0;
        std::ranges::for_each(window_, [&sum](double x) { sum += x; });
        for (std::size_t i = 0; i < window_.size(); ++i)
        {
            highest =
                std::max(highest, window_[i] / (sum * speed_[i] / capacity_));
        }
        spread_sum_ += highest;
        ++windows_;
        std::ranges::fill(window_, 0.0);
    }

    outcome result()
    {
        std::ranges::sort(waits_);
        auto const late = std::ranges::count_if(waits_, [](double wait)
                                                { return wait > target_ms; });
        return {spread_sum_ / windows_, waits_[waits_.size() / 2],
                waits_[waits_.size() * 99 / 100],
                static_cast<double>(late) / static_cast<double>(waits_.size())};
    }

    scenario setting_;
    strategy used_;
    random_source random_{7};
    std::vector<double> speed_;
    std::vector<std::string> names_;
    double capacity_ = 0;
    std::vector<double> free_at_;
    std::vector<double> reported_;
    std::vector<std::vector<double>> own_;
    std::vector<double> window_;
    std::vector<double> waits_;
    double spread_sum_ = 0;
    int windows_ = 0;
};

outcome run(scenario const &setting, strategy used, char const *name)
{
    auto const out = fleet(setting, used).run();
    std::printf("| %3d | %4.1f | %-13s | %5.2f | %5.0f | %5.0f | %.3f |\n",
                static_cast<int>(setting.daemons),
                to_seconds(setting.report_interval), name, out.spread,
                out.p50_ms, out.p99_ms, out.late_share);
    return out;
}

class even_load : public testing::TestWithParam<scenario>
{
};

TEST_P(even_load, old_reports_do_not_gather_prompts_at_a_few_engines)
{
    auto const chosen =
        run(GetParam(), strategy::two_remaining, "two remaining");
    auto const before = run(GetParam(), strategy::all_reported, "all reported");
    auto const random = run(GetParam(), strategy::two_reported, "two reported");
    EXPECT_LT(chosen.p99_ms, before.p99_ms);
    EXPECT_LT(chosen.p99_ms, random.p99_ms);
    EXPECT_LE(chosen.late_share, before.late_share);
    EXPECT_LE(chosen.late_share, random.late_share);
    EXPECT_LT(chosen.spread, before.spread);
}

INSTANTIATE_TEST_SUITE_P(fleets, even_load,
                         testing::Values(scenario{30, 140, milliseconds(100)},
                                         scenario{30, 140, milliseconds(300)},
                                         scenario{30, 140, seconds(1)},
                                         scenario{30, 140, seconds(2)},
                                         scenario{118, 320, milliseconds(100)},
                                         scenario{118, 320, milliseconds(300)},
                                         scenario{118, 320, seconds(1)},
                                         scenario{118, 320, seconds(2)}));

} // namespace
