// Guards against an answer of one daemon that is reported as complete, against
// a change that is based on an old revision, and against a `why` answer that
// lacks the reason.
#include "apply_configuration.hpp"
#include "json_text.hpp"
#include "tick.hpp"
#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace
{

using namespace agateledge;

class operator_answers : public testing::Test
{
protected:
    operator_answers()
        : state(daemon_identity{"daemon-0", incarnation_number(1), "rennes-a",
                                "127.0.0.1:1"},
                1)
    {
        configuration config;
        config.revision = revision_number(4);
        config.services = {{"assistant", false, "manual"}};
        request_class hint;
        hint.name = "hint";
        hint.service = "assistant";
        config.classes = {hint};
        for (auto const *name : {"e-1", "e-2"})
        {
            engine_definition engine;
            engine.name = name;
            engine.service = "assistant";
            engine.model = "manual";
            config.engines.push_back(engine);
        }
        activate_configuration(state, config);
    }

    operator_reply ask(std::string text)
    {
        state.in.operator_requests.push_back(
            {operator_call_number(++call_count), "maelle", std::move(text), 0});
        state.out = {};
        tick(state, state.now + milliseconds(1));
        EXPECT_EQ(state.out.operator_replies.size(), 1U);
        return state.out.operator_replies.empty()
                   ? operator_reply{}
                   : state.out.operator_replies.front();
    }

    Json::Value answer(std::string text)
    {
        auto const given = ask(std::move(text));
        EXPECT_EQ(given.code, result_code::ok) << given.text;
        return json_from_text(given.text).value_or(Json::Value());
    }

    /// @return the calls to the table service for operators, without those of
    ///         leases and of the configuration
    std::vector<table_call> operator_calls() const
    {
        std::vector<table_call> out;
        std::ranges::copy_if(state.out.table_calls, std::back_inserter(out),
                             [](table_call const &call)
                             { return call.owner == table_owner::operators; });
        return out;
    }

    world state;
    std::uint64_t call_count = 0;
};

TEST_F(operator_answers, marks_what_one_daemon_knows_as_partial)
{
    auto const requests = answer("show requests");
    EXPECT_FALSE(requests["complete"].asBool());
    EXPECT_EQ(requests["daemon"].asString(), "daemon-0");
    EXPECT_FALSE(answer("show engines")["complete"].asBool());
    EXPECT_TRUE(answer("show classes")["complete"].asBool());
}

TEST_F(operator_answers, selects_orders_and_limits_rows)
{
    auto const rows = answer("show engines where service = assistant order by "
                             "name desc limit 1");
    ASSERT_EQ(rows["rows"].size(), 1U);
    EXPECT_EQ(rows["rows"][0][0].asString(), "e-2");
    EXPECT_EQ(rows["matched"].asInt(), 2);
    EXPECT_TRUE(rows["cut_by_limit"].asBool());
}

TEST_F(operator_answers, refuses_a_change_on_another_revision)
{
    auto const given = ask("begin on revision 3; drain engine e-1; commit");
    EXPECT_EQ(given.code, result_code::revision_conflict);
    EXPECT_NE(given.text.find("revision 4"), std::string::npos);
}

TEST_F(operator_answers, lists_the_effects_of_a_dry_run_and_changes_nothing)
{
    auto const before = state.config;
    auto const effects = answer("dry run drain engine e-1");
    EXPECT_EQ(effects["changes"].size(), 1U);
    ASSERT_EQ(effects["cuts"].size(), 1U);
    EXPECT_NE(effects["cuts"][0].asString().find("0 open requests"),
              std::string::npos);
    EXPECT_EQ(state.config, before);
    EXPECT_TRUE(operator_calls().empty());
}

TEST_F(operator_answers, tells_why_a_request_was_refused)
{
    request_arrival arrival;
    arrival.request = request_number(41);
    arrival.model = "absent";
    state.in.arrivals.push_back(arrival);
    auto const why = answer("why request 41");
    ASSERT_EQ(why["rows"].size(), 1U);
    EXPECT_EQ(why["rows"][0][4].asString(), "unknown_model");
    EXPECT_EQ(answer("why refusal")["rows"].size(), 1U);
}

TEST_F(operator_answers, reads_leases_from_the_table_service)
{
    state.in.operator_requests.push_back(
        {operator_call_number(9), "maelle", "show leases", 0});
    tick(state, state.now + milliseconds(1));
    auto const calls = operator_calls();
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].prefix, "lease/");
    table_reply rows;
    rows.operation = calls[0].operation;
    rows.owner = table_owner::operators;
    rows.outcome = table_outcome::unavailable;
    state.in.table_replies.push_back(rows);
    tick(state, state.now + milliseconds(1));
    ASSERT_EQ(state.out.operator_replies.size(), 1U);
    EXPECT_EQ(state.out.operator_replies[0].code,
              result_code::store_unavailable);
}

TEST_F(operator_answers, marks_a_full_page_of_the_table_service_as_partial)
{
    for (std::size_t const count : {10'000U, 9'999U})
    {
        state.in.operator_requests.push_back(
            {operator_call_number(++call_count), "maelle",
             "show orders where state = recorded", 0});
        state.out = {};
        tick(state, state.now + milliseconds(1));
        auto const calls = operator_calls();
        ASSERT_EQ(calls.size(), 1U);
        table_reply rows;
        rows.operation = calls[0].operation;
        rows.owner = table_owner::operators;
        rows.outcome = table_outcome::committed;
        rows.rows.resize(count, {"order/e-1", R"({"state":"done"})", 1});
        state.in.table_replies.push_back(rows);
        tick(state, state.now + milliseconds(1));
        ASSERT_EQ(state.out.operator_replies.size(), 1U);
        auto const body = json_from_text(state.out.operator_replies[0].text);
        ASSERT_TRUE(body.ok());
        bool const whole = count < 10'000U;
        EXPECT_EQ((*body)["complete"].asBool(), whole);
        EXPECT_EQ((*body)["cut_by_limit"].asBool(), !whole);
        EXPECT_FALSE((*body).isMember("not_asked"));
    }
}

} // namespace
