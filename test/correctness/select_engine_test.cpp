// Guards against choosing an engine by an outdated report, against sending a
// prompt to an engine of the wrong role, and against overloading engines.
#include "policy_world.hpp"
#include "select_engine.hpp"
#include "track_engines.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

TEST(select_engine, sends_a_prompt_to_prefill_and_its_answer_to_decode)
{
    auto w = make_policy_world({engine_role::prefill, engine_role::decode});
    auto request = make_policy_request(w, 1, 3000);
    EXPECT_EQ(select_engine(w, request), engine_index(0));
    request.kv_key = "stream";
    EXPECT_EQ(select_engine(w, request), engine_index(1));
}

TEST(select_engine, does_not_take_an_old_idle_report_for_an_idle_engine)
{
    auto w = make_policy_world({engine_role::mixed, engine_role::mixed});
    w.costs.role("assistant", engine_role::mixed).mean_peer_prefill_tokens =
        1500;
    w.in.load_reports = {
        make_report("engine-0", engine_role::mixed, 0, 0, seconds(20)),
        make_report("engine-1", engine_role::mixed, 2, 200, milliseconds(100))};
    track_engines(w);
    EXPECT_EQ(select_engine(w, make_policy_request(w, 1, 2000)),
              engine_index(1));
}

TEST(select_engine, keeps_a_request_when_every_engine_is_full)
{
    auto w = make_policy_world({engine_role::mixed, engine_role::mixed});
    for (auto &engine : w.engines.all())
    {
        engine.local_prefill_tokens = 20000;
    }
    EXPECT_FALSE(select_engine(w, make_policy_request(w, 1, 2000)));
}

TEST(select_engine, prefers_the_engine_that_holds_the_prefix)
{
    auto w = make_policy_world(
        {engine_role::mixed, engine_role::mixed, engine_role::mixed});
    auto request = make_policy_request(w, 1, 4096);
    for (std::uint64_t i = 1; i <= 64; ++i)
    {
        request.arrival.prefix_hashes.push_back(i * 7919);
    }
    w.prefixes.add_expected(engine_index(2), request.arrival.prefix_hashes);
    EXPECT_EQ(select_engine(w, request), engine_index(2));
}

TEST(prefix_view, stays_within_its_bound)
{
    prefix_view view;
    for (std::uint64_t i = 0; i < 2 * prefix_view::max_prefixes; ++i)
    {
        view.apply(engine_index(0), {"engine-0", i + 1, i, true});
    }
    EXPECT_LE(view.size(), prefix_view::max_prefixes);
}

} // namespace
