#ifndef AGATELEDGE_TEST_CORRECTNESS_CONFIGURATION_MODEL_HPP
#define AGATELEDGE_TEST_CORRECTNESS_CONFIGURATION_MODEL_HPP

#include "virtual_deployment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

/// Action of an operator, or fault, in a generated schedule.
enum class configuration_event
{
    /// One operator proposes a change.
    propose,
    /// Two operators propose changes on different daemons at the same time.
    race,
    /// A daemon is paused.
    pause,
    /// The table service does not answer.
    store_outage,
    /// Half of the replies of the table service are lost.
    lost_answers,
    /// One daemon is cut off from the other daemons.
    partition,
    wait,
};

/// One step of a generated schedule.
struct configuration_model_step
{
    configuration_event event = configuration_event::wait;
    /// Daemon that the event affects, modulo the number of daemons.
    int target = 0;
    /// Length of a fault, in units of 250 ms; also lengthens the step.
    int amount = 0;
};

/// Runs four daemons in two data centres through concurrent proposals and
/// faults. It records which proposals were reported as having taken effect and
/// compares them with the revisions in the table service.
class configuration_model
{
public:
    explicit configuration_model(std::uint64_t seed);

    void run(std::vector<configuration_model_step> const &steps);

    /// Ends all faults and checks that every daemon reaches the last revision
    /// and that the replies to operators were correct.
    void settle();

    std::vector<std::string> const &violations() const { return violations_; }

    /// @return number of replies to operators, by result code
    std::map<result_code, int> const &replies() const { return replies_; }

private:
    void apply(configuration_model_step const &step);
    void propose(std::size_t daemon);
    void record_reply(operator_reply const &reply);
    void advance(duration length);
    void check_store();
    void check_daemons();
    void check_replies();
    std::optional<table_outcome> table_fault_for(table_call const &call);

    virtual_deployment deployment_;
    instant outage_until_{};
    instant reply_loss_until_{};
    instant partition_until_{};
    std::size_t partitioned_daemon_ = 0;
    std::uint64_t last_call_ = 0;
    /// Last revision that was seen in the table service.
    std::uint64_t current_revision_ = 0;
    /// Configurations as they were first stored, by revision.
    std::map<std::uint64_t, configuration> revisions_;
    /// Last revision that was seen in force, by daemon.
    std::map<std::size_t, std::uint64_t> daemon_revisions_;
    /// Revision that the reply to a call reported; 0 for a refused call, the
    /// maximum for an unknown outcome.
    std::map<std::uint64_t, std::uint64_t> reported_revisions_;
    std::map<result_code, int> replies_;
    std::vector<std::string> violations_;
};

} // namespace agateledge

#endif
