// Guards against a restarted daemon that works by its settings file although a
// newer revision withdrew an engine, an endpoint or a caller's key.
#include "apply_configuration.hpp"
#include "configuration_json.hpp"
#include "tick.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

configuration settings_file()
{
    configuration config;
    config.services = {{"assistant", false, "manual"}, {"desk", true, ""}};
    request_class hint;
    hint.name = "hint";
    hint.service = "assistant";
    request_class look;
    look.name = "look";
    look.service = "desk";
    config.classes = {hint, look};
    engine_definition engine;
    engine.name = "e-old";
    engine.address = "127.0.0.1:1";
    engine.service = "assistant";
    engine.model = "manual";
    engine.data_centre = "rennes-a";
    config.engines = {engine};
    config.endpoints = {{"d-old", "127.0.0.1:2", "rennes-a", "desk", false}};
    config.callers = {{"stand-12", "kerbrat", std::string(64, 'a'), 0, 0}};
    return config;
}

/// @return the revision in force, which has another engine and endpoint
configuration revision_in_force()
{
    auto config = settings_file();
    config.revision = revision_number(4);
    config.engines.front().name = "e-new";
    config.endpoints.front().name = "d-new";
    return config;
}

request_arrival generation()
{
    request_arrival arrival;
    arrival.request = request_number(1);
    arrival.caller = "stand-12";
    arrival.model = "manual";
    arrival.prompt_tokens = 700;
    arrival.max_output_tokens = 40;
    return arrival;
}

request_arrival look_up()
{
    request_arrival arrival;
    arrival.request = request_number(2);
    arrival.caller = "stand-12";
    arrival.service = "desk";
    arrival.method = "GET";
    arrival.path = "/seats";
    return arrival;
}

/// A daemon that has just been started with `settings_file`.
class restart : public testing::Test
{
protected:
    restart()
        : state(daemon_identity{"daemon-0", incarnation_number(1), "rennes-a",
                                "127.0.0.1:1"},
                1)
    {
        apply_initial_configuration(state, settings_file());
        step();
    }

    void step()
    {
        state.out = {};
        tick(state, state.now + milliseconds(10));
    }

    void confirm(configuration const &config)
    {
        activate_configuration(state, config);
        state.config_sync.confirmed_at = state.now;
    }

    world state;
};

TEST_F(restart, a_withdrawn_engine_gets_no_work)
{
    state.in.arrivals.push_back(generation());
    step();
    EXPECT_TRUE(state.out.engine_calls.empty());
    confirm(revision_in_force());
    step();
    ASSERT_EQ(state.out.engine_calls.size(), 1U);
    EXPECT_EQ(state.out.engine_calls.front().engine, "e-new");
}

TEST_F(restart, a_withdrawn_endpoint_gets_no_work)
{
    state.in.arrivals.push_back(look_up());
    step();
    EXPECT_TRUE(state.out.service_calls.empty());
    confirm(revision_in_force());
    step();
    ASSERT_EQ(state.out.service_calls.size(), 1U);
    EXPECT_EQ(state.out.service_calls.front().endpoint, "d-new");
}

// The key was accepted by the settings file, before the revision was known.
TEST_F(restart, a_withdrawn_key_gets_no_answer)
{
    state.in.arrivals.push_back(generation());
    state.in.arrivals.push_back(look_up());
    step();
    auto other_callers = revision_in_force();
    other_callers.callers.front().name = "stand-13";
    state.in.configuration_documents.push_back(
        {"daemon-1", configuration_to_json(other_callers), 0});
    std::vector<result_code> codes;
    for (int i = 0; i < 10; ++i)
    {
        step();
        EXPECT_TRUE(state.out.engine_calls.empty());
        EXPECT_TRUE(state.out.service_calls.empty());
        std::ranges::transform(state.out.caller_replies,
                               std::back_inserter(codes), &caller_reply::code);
    }
    EXPECT_EQ(codes, std::vector(2, result_code::unauthenticated));
}

TEST_F(restart, a_key_that_still_holds_is_served)
{
    state.in.arrivals.push_back(generation());
    step();
    state.in.configuration_documents.push_back(
        {"daemon-1", configuration_to_json(revision_in_force()), 0});
    step();
    ASSERT_EQ(state.out.engine_calls.size(), 1U);
    EXPECT_EQ(state.out.engine_calls.front().engine, "e-new");
}

TEST_F(restart, idempotent_work_goes_on_by_the_settings_without_a_confirmation)
{
    state.in.arrivals.push_back(look_up());
    step();
    for (int i = 0; i < 1100 && state.out.service_calls.empty(); ++i)
    {
        step();
    }
    ASSERT_EQ(state.out.service_calls.size(), 1U);
    EXPECT_EQ(state.out.service_calls.front().endpoint, "d-old");
}

} // namespace
