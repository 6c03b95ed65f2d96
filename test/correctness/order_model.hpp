#ifndef AGATELEDGE_TEST_CORRECTNESS_ORDER_MODEL_HPP
#define AGATELEDGE_TEST_CORRECTNESS_ORDER_MODEL_HPP

#include "order_record.hpp"
#include "virtual_deployment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

enum class order_event
{
    request,
    pause,
    store_outage,
    lost_answers,
    crash,
    slow_copies,
    partition,
    wait,
};

/// One step of a generated schedule.
struct order_model_step
{
    order_event event = order_event::wait;
    int target = 0;
    int amount = 0;
};

/// Event counts of a run; they show that the schedules reach the intended
/// cases.
struct order_model_totals
{
    int effects = 0;
    int refusals = 0;
    int takeovers = 0;
    int adoptions = 0;
    int lost = 0;
};

/// Runs three daemons and two engines through a schedule of faults and checks
/// them against an oracle that observes the table service and the orders that
/// take effect at the engines.
class order_model
{
public:
    /// @param checks_fencing whether the engines check fencing numbers
    order_model(bool checks_fencing, std::uint64_t seed);

    /// Sets a test-only switch on every daemon.
    void set_faults(fault_switches faults);

    void run(std::vector<order_model_step> const &steps);

    /// Ends all faults, runs until open orders have had time to finish, and
    /// records a violation for each order that is still open.
    void settle();

    /// @return the violations that the oracle found
    std::vector<std::string> const &violations() const { return violations_; }

    order_model_totals const &totals() const { return totals_; }

private:
    struct engine_view
    {
        order_record last;
        std::uint64_t version = 0;
        std::size_t effects = 0;
    };

    void apply(order_model_step const &step);
    void request(std::string const &engine, engine_role role);
    void pause(std::size_t daemon, duration length);
    std::size_t holder() const;
    void advance(duration length);
    void check_rows();
    void check_row_change(engine_view &view, order_record const &next);
    void check_effects();
    void check_holders();
    std::optional<table_outcome> fault_of(table_call const &call);

    virtual_deployment deployment_;
    bool checks_fencing_;
    instant outage_until_{};
    instant lost_answers_until_{};
    instant slow_copies_until_{};
    instant partition_until_{};
    std::uint64_t highest_fencing_ = 0;
    std::map<std::string, engine_view> views_;
    std::vector<std::string> violations_;
    order_model_totals totals_;
};

} // namespace agateledge

#endif
