#ifndef AGATELEDGE_TEST_CORRECTNESS_CONFIGURATION_MODEL_HPP
#define AGATELEDGE_TEST_CORRECTNESS_CONFIGURATION_MODEL_HPP

#include "virtual_deployment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

enum class configuration_event
{
    propose,
    race,
    pause,
    store_outage,
    lost_answers,
    partition,
    wait,
};

/// One step of a generated schedule.
struct configuration_model_step
{
    configuration_event event = configuration_event::wait;
    int target = 0;
    int amount = 0;
};

/// Runs four daemons in two data centres through racing proposals and faults.
/// The oracle knows which proposals were told to have taken effect.
class configuration_model
{
public:
    explicit configuration_model(std::uint64_t seed);

    void run(std::vector<configuration_model_step> const &steps);

    /// Ends all faults and checks that every daemon has the last revision.
    void settle();

    std::vector<std::string> const &violations() const { return violations_; }

    /// @return replies to operators by result
    std::map<result_code, int> const &replies() const { return replies_; }

private:
    void apply(configuration_model_step const &step);
    void propose(std::size_t daemon);
    void take_reply(operator_reply const &reply);
    void advance(duration length);
    void check_store();
    void check_daemons();
    void check_told();
    std::optional<table_outcome> fault_of(table_call const &call);

    virtual_deployment deployment_;
    instant outage_until_{};
    instant lost_until_{};
    instant partition_until_{};
    std::size_t partitioned_ = 0;
    std::uint64_t last_call_ = 0;
    std::uint64_t head_ = 0;
    /// Documents of the revisions as the store had them first.
    std::map<std::uint64_t, configuration> revisions_;
    std::map<std::size_t, std::uint64_t> seen_;
    /// Revision that a call was told to have made; 0 for a refused call.
    std::map<std::uint64_t, std::uint64_t> told_;
    std::map<result_code, int> replies_;
    std::vector<std::string> violations_;
};

} // namespace agateledge

#endif
