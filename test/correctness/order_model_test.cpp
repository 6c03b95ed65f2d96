// Guards against conflicting orders: an engine must not execute a second order
// before the first one is resolved, whatever pauses, lost answers, outages,
// takeovers, engine crashes and repeated or late copies of an order occur.
#include "fixed_seed_check.hpp"
#include "order_model.hpp"

namespace agateledge
{

std::ostream &operator<<(std::ostream &os, order_model_step const &step)
{
    return os << "{" << static_cast<int>(step.event) << ", " << step.target
              << ", " << step.amount << "}";
}

namespace
{

rc::Gen<order_model_step> any_step()
{
    auto const event =
        rc::gen::weightedElement<order_event>({{6, order_event::request},
                                               {2, order_event::pause},
                                               {1, order_event::store_outage},
                                               {2, order_event::lost_answers},
                                               {2, order_event::crash},
                                               {3, order_event::slow_copies},
                                               {1, order_event::partition},
                                               {2, order_event::wait}});
    return rc::gen::construct<order_model_step>(event, full_range(6),
                                                full_range(40));
}

struct order_check
{
    std::string failure;
    order_model_totals totals;
};

void add(order_model_totals &sum, order_model_totals const &part)
{
    sum.effects += part.effects;
    sum.refusals += part.refusals;
    sum.takeovers += part.takeovers;
    sum.adoptions += part.adoptions;
    sum.lost += part.lost;
}

order_check check_orders(bool checks_fencing, fault_switches faults,
                         bool expect_pass)
{
    constexpr int cases = 60;
    constexpr std::uint64_t seed = 4711;
    order_check check;
    check.failure = run_with_seed(
        seed, cases,
        [&]
        {
            auto const steps =
                *rc::gen::container<std::vector<order_model_step>>(any_step());
            order_model model(checks_fencing, 7);
            model.set_faults(faults);
            model.run(steps);
            if (expect_pass)
            {
                model.settle();
            }
            add(check.totals, model.totals());
            RC_ASSERT(model.violations() == std::vector<std::string>());
        },
        expect_pass);
    return check;
}

/// Checks that the schedules reach the cases that the test is meant to cover.
void expect_reached(order_model_totals const &totals)
{
    EXPECT_GT(totals.effects, 100);
    EXPECT_GT(totals.takeovers, 60);
    EXPECT_GT(totals.adoptions, 10);
    EXPECT_GT(totals.lost, 10);
}

TEST(order_model, engines_that_check_fencing_get_no_conflicting_orders)
{
    auto const check = check_orders(true, {}, true);
    EXPECT_EQ(check.failure, "");
    EXPECT_GT(check.totals.refusals, 0);
    expect_reached(check.totals);
}

TEST(order_model, engines_that_ignore_fencing_get_no_conflicting_orders)
{
    auto const check = check_orders(false, {}, true);
    EXPECT_EQ(check.failure, "");
    expect_reached(check.totals);
}

TEST(order_model, the_check_fails_without_the_resolution_of_orders)
{
    fault_switches faults;
    faults.skip_order_resolution = true;
    auto const check = check_orders(false, faults, false);
    EXPECT_NE(check.failure.find("which was open"), std::string::npos)
        << check.failure;
}

TEST(order_model, the_check_fails_without_the_check_of_authority)
{
    fault_switches faults;
    faults.skip_authority_check = true;
    auto const check = check_orders(false, faults, false);
    EXPECT_NE(check.failure.find("without authority"), std::string::npos)
        << check.failure;
}

} // namespace
} // namespace agateledge
