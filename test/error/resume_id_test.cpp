// Guards against a caller resuming a stream of another caller: request ids are
// signed and bound to the caller, and signing keys can be rotated.
#include "request_id.hpp"
#include "scripted_deployment.hpp"
#include "signing_keys.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

request_id const sample{"rennes-a", "engine/1 ~:", "daemon-1:17:4"};

TEST(resume_id, a_signed_id_names_the_stream)
{
    signing_keys const keys({"0123456789abcdef"});
    auto const text = sign_request_id(sample, "stand-12", keys) + ":37";
    auto const point = resume_point_of(text, "stand-12", keys);
    ASSERT_TRUE(point.has_value());
    EXPECT_EQ(*point, (resume_point{sample.stream_key, sample.engine, 37}));
}

TEST(resume_id, another_caller_is_refused)
{
    signing_keys const keys({"0123456789abcdef"});
    auto const text = sign_request_id(sample, "stand-12", keys) + ":37";
    EXPECT_FALSE(resume_point_of(text, "stand-13", keys));
}

TEST(resume_id, every_changed_byte_of_the_id_is_refused)
{
    signing_keys const keys({"0123456789abcdef"});
    auto const id = sign_request_id(sample, "stand-12", keys);
    for (std::size_t i = 0; i < id.size(); ++i)
    {
        auto changed = id;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        EXPECT_FALSE(resume_point_of(changed + ":0", "stand-12", keys)) << i;
    }
}

TEST(resume_id, malformed_offsets_are_refused)
{
    signing_keys const keys({"0123456789abcdef"});
    auto const id = sign_request_id(sample, "stand-12", keys);
    for (auto const *offset : {"", ":", ":-1", ":1x", ":99999999999"})
    {
        EXPECT_FALSE(resume_point_of(id + offset, "stand-12", keys)) << offset;
    }
}

TEST(resume_id, an_older_key_still_verifies)
{
    signing_keys const before({"0123456789abcdef"});
    signing_keys const after({"fedcba9876543210", "0123456789abcdef"});
    signing_keys const later({"fedcba9876543210"});
    auto const text = sign_request_id(sample, "stand-12", before) + ":1";
    EXPECT_TRUE(resume_point_of(text, "stand-12", after));
    EXPECT_FALSE(resume_point_of(text, "stand-12", later));
}

TEST(resume_id, a_forged_id_is_answered_with_an_error)
{
    scripted_deployment deployment;
    auto const text = deployment.call(
        "POST", "/v1/completions", "Last-Event-ID: rennes-a/e/k/00:3\r\n",
        R"({"model":"manual","stream":true,"prompt":"p"})", "not_run");
    EXPECT_NE(text.find("unknown_request"), std::string::npos) << text;
    EXPECT_EQ(deployment.request_counts["/v1/generate"], 0);
}

} // namespace
