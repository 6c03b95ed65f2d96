// Guards against a row of the table service that another writer left and that
// ends the daemon which reads it.
#include "claim_row.hpp"
#include "inbox.hpp"
#include "parse_statement.hpp"
#include "query_rows.hpp"
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace agateledge;

std::vector<std::string> odd_claims()
{
    std::vector<std::string> out{"", "null", "[]", "{}",
                                 std::string(100'000, '[')};
    for (std::string const value :
         {"[]", "{}", R"({"a":[1]})", "1e400", "1180591620717411303424",
          "-9223372036854775808", "9223372036854775807"})
    {
        out.push_back(R"({"state":)" + value + "}");
        out.push_back(R"({"state":"done","status":)" + value + "}");
    }
    for (std::string const value : {"[]", "{}", R"({"a":[1]})"})
    {
        for (std::string const name : {"attempt", "fingerprint", "body"})
        {
            std::string text = R"({"state":"done","status":200,")";
            text.append(name).append("\":").append(value).append("}");
            out.push_back(std::move(text));
        }
    }
    return out;
}

TEST(odd_table_row, a_claim_with_a_wrong_type_is_no_claim)
{
    for (auto const &text : odd_claims())
    {
        EXPECT_NO_THROW(EXPECT_FALSE(claim_row_from_text(text)))
            << text.substr(0, 100);
    }
}

std::string book(scripted_deployment &deployment)
{
    return deployment.call("POST", "/v1/services/desk/book",
                           "Idempotency-Key: stand-12\r\n", "{}", "}");
}

TEST(odd_table_row, a_booking_with_an_unreadable_claim_is_not_run_again)
{
    request_arrival arrival;
    arrival.service = "desk";
    arrival.caller = "stand-12";
    arrival.idempotency_key = "stand-12";
    table_call read;
    read.keys = {claim_key_of(arrival)};
    for (auto const *text :
         {R"({"state":[]})", R"({"state":"done","status":1e400})"})
    {
        scripted_deployment deployment;
        EXPECT_NE(book(deployment).find(" 200 "), std::string::npos);
        ASSERT_NE(deployment.rows.apply(read).rows.front().version, 0U);
        table_call write;
        write.puts = {{read.keys.front(), text}};
        deployment.rows.apply(write);
        auto const answer = book(deployment);
        EXPECT_NE(answer.find(" 504 "), std::string::npos) << answer;
        EXPECT_EQ(deployment.request_counts["/book"], 1);
    }
}

query_statement query_of(std::string const &text)
{
    auto const parsed = parse_statement(text);
    EXPECT_TRUE(parsed.ok()) << parsed.status();
    return std::get<query_statement>(*parsed);
}

TEST(odd_table_row, an_order_with_a_wrong_type_can_be_queried)
{
    std::vector<table_row> const rows{
        {"order/e-1", R"({"state":[1,{"a":2}],"kind":{"a":"b"}})", 4},
        {"order/e-2", R"({"state":"recorded","kind":"load_model"})", 5},
        {"order/e-3", std::string(100'000, '['), 6}};
    for (auto const *text :
         {"show orders where state = recorded order by kind",
          "show orders where kind contains load order by state desc",
          "show orders where state != x and kind != x order by kind",
          "show orders"})
    {
        EXPECT_NO_THROW({
            auto const result = query_table_rows(query_of(text), rows);
            EXPECT_GE(result.rows.size(), 1U) << text;
            EXPECT_LE(result.rows.size(), 2U) << text;
        }) << text;
    }
}

} // namespace
