// Guards against a configuration change that takes effect in part, is lost
// after it was confirmed, is reverted, or does not reach every daemon. This
// could happen when operators propose changes concurrently during outages, lost
// replies, pauses and partitions.
#include "apply_configuration.hpp"
#include "configuration_json.hpp"
#include "configuration_model.hpp"
#include "fixed_seed_check.hpp"

namespace agateledge
{

std::ostream &operator<<(std::ostream &os, configuration_model_step const &step)
{
    return os << "{" << static_cast<int>(step.event) << ", " << step.target
              << ", " << step.amount << "}";
}

namespace
{

rc::Gen<configuration_model_step> any_step()
{
    auto const event = rc::gen::weightedElement<configuration_event>(
        {{5, configuration_event::propose},
         {4, configuration_event::race},
         {2, configuration_event::pause},
         {1, configuration_event::store_outage},
         {3, configuration_event::lost_answers},
         {2, configuration_event::partition},
         {2, configuration_event::wait}});
    return rc::gen::construct<configuration_model_step>(event, full_range(4),
                                                        full_range(60));
}

TEST(configuration_model, changes_are_whole_and_reach_every_daemon)
{
    std::map<result_code, int> replies;
    auto const failure = run_with_seed(
        815, 60,
        [&replies]
        {
            auto const steps =
                *rc::gen::container<std::vector<configuration_model_step>>(
                    any_step());
            configuration_model model(3);
            model.run(steps);
            model.settle();
            for (auto const &[code, count] : model.replies())
            {
                replies[code] += count;
            }
            RC_ASSERT(model.violations() == std::vector<std::string>());
        });
    EXPECT_EQ(failure, "");
    EXPECT_GT(replies[result_code::ok], 100);
    EXPECT_GT(replies[result_code::revision_conflict], 20);
    EXPECT_GT(replies[result_code::store_unavailable], 10);
}

/// Sends a daemon an older revision than the one in force.
///
/// @param allow_rollback disables the check that rejects it
/// @return the violated invariant, or an empty string
std::string deliver_old_revision(bool allow_rollback)
{
    throwing_assertions const assertions;
    configuration config;
    config.revision = revision_number(4);
    virtual_deployment deployment(config, {"rennes-a"}, 1);
    deployment.run_until(instant(seconds(1)));
    config.revision = revision_number(3);
    auto &state = *deployment.daemons()[0].state;
    state.faults.allow_revision_rollback = allow_rollback;
    state.in.configuration_documents.push_back(
        {"daemon-9", configuration_to_json(config), 0});
    try
    {
        deployment.run_until(instant(seconds(3)));
    }
    catch (std::runtime_error const &error)
    {
        return error.what();
    }
    return "";
}

TEST(configuration_model, a_late_document_does_not_revert_the_revision)
{
    EXPECT_EQ(deliver_old_revision(false), "");
}

TEST(configuration_model, the_invariant_fails_when_a_rollback_is_allowed)
{
    EXPECT_EQ(deliver_old_revision(true), "revision 3 in force after 4");
}

} // namespace
} // namespace agateledge
