// Guards against an engine selection whose cost grows as fast as the fleet, and
// against an idle tick whose cost grows with the number of open requests.
#include "policy_world.hpp"
#include "select_engine.hpp"
#include "tick.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>

namespace
{

using namespace agateledge;

template <class Action>
double best_microseconds(int repeats, Action action)
{
    double best = 1e9;
    for (int round = 0; round < 5; ++round)
    {
        auto const begin = std::chrono::steady_clock::now();
        for (int i = 0; i < repeats; ++i)
        {
            action();
        }
        std::chrono::duration<double, std::micro> const passed =
            std::chrono::steady_clock::now() - begin;
        best = std::min(best, passed.count() / repeats);
    }
    return best;
}

double selection_cost(std::size_t engines)
{
    auto w = make_policy_world(
        std::vector<engine_role>(engines, engine_role::mixed));
    auto const request = make_policy_request(w, 1, 2000);
    return best_microseconds(2000, [&] { select_engine(w, request); });
}

TEST(decision_cost, selection_grows_less_than_the_fleet)
{
    auto const small = selection_cost(20);
    auto const large = selection_cost(600);
    std::cout << "select_engine: " << small << " us at 20 engines, " << large
              << " us at 600\n";
    constexpr double growth_of_fleet = 600.0 / 20.0;
    EXPECT_LT(large, small * growth_of_fleet);
}

TEST(decision_cost, an_idle_tick_does_not_scan_open_requests)
{
    auto w = make_policy_world({engine_role::mixed});
    w.config.classes.front().may_wait = true;
    w.engines.all().front().local_prefill_tokens = 1000000;
    auto const cost = [&w]
    {
        return best_microseconds(200,
                                 [&w] { tick(w, w.now + microseconds(100)); });
    };
    auto const empty = cost();
    for (std::uint64_t i = 1; i <= 10000; ++i)
    {
        w.in.arrivals.push_back(make_policy_request(w, i, 500).arrival);
    }
    tick(w, w.now);
    auto const full = cost();
    std::cout << "tick: " << empty << " us with none, " << full
              << " us with 10,000 open requests\n";
    // Allowance in microseconds; a scan of 10,000 requests takes longer.
    EXPECT_LT(full, empty + 100);
}

} // namespace
