// Tests the path from arrival to answer: a model request must be answered
// completely and a booking must be executed once.
#include "standin_answer.hpp"
#include "virtual_deployment.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

configuration small_configuration()
{
    configuration config;
    config.revision = revision_number(1);
    config.services = {{"assistant", false, "manual"}, {"desk", true, ""}};
    request_class hint;
    hint.name = "form-hint";
    hint.service = "assistant";
    hint.finish_deadline = seconds(5);
    request_class booking;
    booking.name = "booking";
    booking.service = "desk";
    booking.finish_deadline = seconds(5);
    config.classes = {hint, booking};
    engine_definition engine;
    engine.name = "engine-1";
    engine.data_centre = "rennes-a";
    engine.service = "assistant";
    engine.model = "manual";
    config.engines = {engine};
    config.endpoints = {{"desk-1", "desk-1", "rennes-a", "desk", false}};
    return config;
}

TEST(whole_path, answers_a_model_request_whole)
{
    virtual_deployment deployment(small_configuration(), {"rennes-a"}, 1);
    std::string text;
    bool finished = false;
    deployment.on_reply = [&](std::size_t, caller_reply const &reply)
    {
        text += reply.text;
        finished |= reply.kind == caller_reply_kind::finished;
    };
    request_arrival arrival;
    arrival.request = request_number(1);
    arrival.model = "manual";
    arrival.prompt_tokens = 700;
    arrival.max_output_tokens = 40;
    arrival.seed = 9;
    deployment.submit(0, arrival);
    deployment.run_until(instant(seconds(5)));
    EXPECT_TRUE(finished);
    EXPECT_EQ(text, standin_answer(9, 40));
}

TEST(whole_path, runs_a_booking_once_for_a_repeated_key)
{
    virtual_deployment deployment(small_configuration(), {"rennes-a"}, 1);
    std::vector<std::string> bodies;
    deployment.on_reply = [&](std::size_t, caller_reply const &reply)
    {
        EXPECT_EQ(reply.kind, caller_reply_kind::finished);
        bodies.push_back(reply.text);
    };
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        request_arrival arrival;
        arrival.request = request_number(i);
        arrival.service = "desk";
        arrival.method = "POST";
        arrival.path = "/book";
        arrival.idempotency_key = "stand-12";
        arrival.idempotent = false;
        arrival.body = std::make_shared<std::string const>("{}");
        deployment.submit(0, arrival);
        deployment.run_until(instant(seconds(2 * i)));
    }
    ASSERT_EQ(bodies.size(), 2U);
    EXPECT_EQ(bodies[0], bodies[1]);
    EXPECT_EQ(deployment.services()["desk"].effect_counts().at("stand-12"), 1);
}

} // namespace
