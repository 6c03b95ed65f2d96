// Guards against a transaction that is applied in part, and against a change
// that leaves a service with request classes but without an engine or endpoint
// to serve them.
#include "apply_statement.hpp"
#include "parse_statement.hpp"
#include "result_code.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace agateledge;

configuration two_services()
{
    configuration config;
    config.revision = revision_number(7);
    config.services = {{"assistant", false, "manual"}, {"desk", true, ""}};
    request_class hint;
    hint.name = "hint";
    hint.service = "assistant";
    config.classes = {hint};
    for (auto const *name : {"e-1", "e-2"})
    {
        engine_definition engine;
        engine.name = name;
        engine.address = "127.0.0.1:9001";
        engine.service = "assistant";
        config.engines.push_back(engine);
    }
    config.callers = {{"stand-1", "account-1", "", 0, 0}};
    return config;
}

absl::StatusOr<configuration> apply(configuration const &base,
                                    std::string const &text)
{
    auto const parsed = parse_statement(text);
    EXPECT_TRUE(parsed.ok()) << text << ": " << parsed.status();
    return apply_statement(base,
                           std::get<transaction_statement>(*parsed).changes);
}

TEST(transaction, applies_every_change_in_order)
{
    auto const next = apply(
        two_services(),
        "begin on revision 7; create service notes model horse; "
        "assign engine e-2 to notes version 3; set class read of notes "
        "priority 2 finish 30s; set limit of caller stand-1 rate 5 burst 9; "
        "commit");
    ASSERT_TRUE(next.ok()) << next.status();
    EXPECT_EQ(next->engines[1].service, "notes");
    EXPECT_EQ(next->engines[1].model, "horse");
    EXPECT_EQ(next->classes[1].finish_deadline, seconds(30));
    EXPECT_EQ(next->callers[0].requests_per_second, 5);
    EXPECT_EQ(next->revision, revision_number(7));
}

TEST(transaction, applies_nothing_when_one_change_is_invalid)
{
    auto const base = two_services();
    for (auto const *text :
         {"begin; drain engine e-1; drain engine e-9; commit",
          "begin; drain engine e-1; withdraw engine e-2; commit",
          "begin; create service notes model a; create service notes plain; "
          "commit",
          "begin; set limit of caller stand-1 rate 5; drop service assistant; "
          "commit"})
    {
        auto const next = apply(base, text);
        ASSERT_FALSE(next.ok()) << text;
        EXPECT_EQ(code_of(next.status()), result_code::invalid_change);
    }
    EXPECT_EQ(base, two_services());
}

TEST(transaction, keeps_the_last_engine_of_a_service)
{
    for (auto const *text :
         {"drain host 127.0.0.1",
          "begin; release engine e-1; release engine e-2; commit",
          "begin; create service n model m; assign engine e-1 to n; assign "
          "engine e-2 to n; commit"})
    {
        EXPECT_FALSE(apply(two_services(), text).ok()) << text;
    }
    EXPECT_TRUE(apply(two_services(), "drain engine e-1").ok());
}

TEST(transaction, drops_a_service_only_without_classes_and_engines)
{
    EXPECT_FALSE(apply(two_services(), "drop service assistant").ok());
    EXPECT_TRUE(apply(two_services(), "drop service desk").ok());
}

} // namespace
