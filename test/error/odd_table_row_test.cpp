// Guards against a row of the table service that another writer left and that
// ends the daemon which reads it.
#include "claim_row.hpp"
#include "inbox.hpp"
#include "scripted_deployment.hpp"

#include <gtest/gtest.h>

#include <string>
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
            out.push_back(R"({"state":"done","status":200,")" + name +
                          "\":" + value + "}");
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

} // namespace
