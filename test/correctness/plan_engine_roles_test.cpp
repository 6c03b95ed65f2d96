// Guards against prompts that wait for a few engines in prefill role while most
// engines, which decode, are nearly idle, and against changes that leave too
// few engines in a role or take too many of them out of service at once.
#include "plan_engine_roles.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace
{

using namespace agateledge;

role_view service_of(int prefilling, int decoding, int calls_per_decode_engine,
                     duration prefill_delay)
{
    role_view out;
    out.prefill_delay = prefill_delay;
    for (int i = 0; i < prefilling + decoding; ++i)
    {
        bool const decodes = i >= prefilling;
        out.engines.push_back(
            {"engine-" + std::to_string(1000 + i),
             decodes ? engine_role::decode : engine_role::prefill, 1.0,
             decodes ? calls_per_decode_engine : 0, true});
    }
    return out;
}

/// Applies the changes.
void change(role_view &view, role_changes const &changes)
{
    for (auto &engine : view.engines)
    {
        if (std::ranges::count(changes.instances, engine.instance) != 0)
        {
            engine.role = changes.role;
        }
    }
}

int decoding_engines(role_view const &view)
{
    return static_cast<int>(std::ranges::count(
        view.engines, engine_role::decode, &role_candidate::role));
}

TEST(plan_engine_roles, prompts_that_wait_get_engines_that_are_nearly_idle)
{
    auto const view = service_of(49, 91, 3, milliseconds(400));
    auto const changes = plan_engine_roles(view);
    EXPECT_EQ(changes.role, engine_role::prefill);
    EXPECT_FALSE(changes.instances.empty());
    EXPECT_LE(changes.instances.size(), 21U);
}

TEST(plan_engine_roles, engines_with_streams_keep_their_role)
{
    auto view = service_of(49, 91, 3, milliseconds(400));
    auto const streams = 3 * 91;
    for (int round = 0; round < 20; ++round)
    {
        change(view, plan_engine_roles(view));
        for (auto &engine : view.engines)
        {
            engine.open_calls = engine.role == engine_role::decode
                                    ? streams / decoding_engines(view)
                                    : 0;
        }
    }
    // The rest carries the streams with at most 8 at an engine, and a burst.
    EXPECT_LE(decoding_engines(view), 60);
    EXPECT_LE(streams / decoding_engines(view), 8);
    EXPECT_GE(decoding_engines(view), 28);
}

TEST(plan_engine_roles, roles_stay_when_no_prompt_waits)
{
    auto const view = service_of(49, 91, 3, milliseconds(30));
    EXPECT_TRUE(plan_engine_roles(view).instances.empty());
}

TEST(plan_engine_roles, crowded_streams_get_engines_back)
{
    auto const view = service_of(100, 40, 20, milliseconds(5));
    auto const changes = plan_engine_roles(view);
    EXPECT_EQ(changes.role, engine_role::decode);
    EXPECT_FALSE(changes.instances.empty());
}

TEST(plan_engine_roles, a_small_service_keeps_its_roles)
{
    auto const view = service_of(6, 12, 1, milliseconds(400));
    EXPECT_TRUE(plan_engine_roles(view).instances.empty());
}

TEST(plan_engine_roles, the_slowest_engines_stop_decoding_first)
{
    auto view = service_of(49, 91, 3, milliseconds(400));
    for (std::size_t i = 0; i < view.engines.size(); i += 3)
    {
        view.engines[i].speed = 0.6;
    }
    for (auto const &id : plan_engine_roles(view).instances)
    {
        auto const engine =
            std::ranges::find(view.engines, id, &role_candidate::instance);
        EXPECT_LT(engine->speed, 1) << id;
    }
}

TEST(plan_engine_roles, engines_in_a_change_are_not_changed_again)
{
    auto view = service_of(49, 91, 3, milliseconds(400));
    std::ranges::for_each(view.engines, [](role_candidate &engine)
                          { engine.may_change = false; });
    EXPECT_TRUE(plan_engine_roles(view).instances.empty());
}

} // namespace
