#ifndef AGATELEDGE_FAULT_SCHEDULE_HPP
#define AGATELEDGE_FAULT_SCHEDULE_HPP

#include "configuration.hpp"
#include "random_source.hpp"
#include "time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

class virtual_callers;
class virtual_deployment;

/// One injected fault, for the report of a violation.
struct fired_fault
{
    instant when;
    std::string kind;
    std::string target;

    auto operator<=>(fired_fault const &) const = default;
};

/// Injects faults at random times. Faults may overlap, also two of one kind.
/// Each kind has its own random number generator, so that excluding one kind
/// leaves the times of the others unchanged.
class fault_schedule
{
public:
    /// @param deployment where the faults take effect
    /// @param callers callers that lose their connections when a daemon ends,
    ///        and that reconnect or repeat requests as a fault
    /// @param seed seed of the times and targets
    /// @param without kinds that are not injected
    fault_schedule(virtual_deployment &deployment, virtual_callers &callers,
                   std::uint64_t seed, std::set<std::string> const &without);

    /// Stops injecting faults; those in effect end at their planned times.
    void end() { ended_ = true; }

    std::vector<fired_fault> const &fired() const { return fired_; }

    /// @return names of all kinds
    static std::vector<std::string> kinds();

private:
    struct fault_kind
    {
        std::string name;
        random_source random;
        std::function<std::string(random_source &)> fire;
    };

    void add(std::string const &name, std::uint64_t seed,
             std::function<std::string(random_source &)> fire);
    void plan(std::size_t kind);
    void fire(std::size_t kind);
    void after(duration delay, std::function<void()> action);
    /// Increments `counter` for a random time of at most `longest`.
    ///
    /// @return that time as text
    std::string inject_for_random_time(random_source &random, int &counter,
                                       duration longest);
    std::size_t pick_daemon(random_source &random) const;
    std::string pick_engine(random_source &random) const;

    void add_daemon_faults(std::uint64_t seed);
    void add_network_faults(std::uint64_t seed);
    void add_store_faults(std::uint64_t seed);
    void add_engine_faults(std::uint64_t seed);
    void add_planned_changes(std::uint64_t seed);
    void add_caller_faults(std::uint64_t seed);
    void install_hooks();

    std::string kill(random_source &random);
    std::string pause(random_source &random);
    std::string stop(random_source &random);
    std::string cut(random_source &random, std::string const &one,
                    std::string const &other);
    std::string drain(random_source &random, std::string const &name);
    void set_draining(std::string const &name, bool draining);
    std::string race_operators(random_source &random);
    void check_not_draining(std::string const &target) const;

    virtual_deployment &deployment_;
    virtual_callers &callers_;
    random_source random_;
    std::vector<fault_kind> kinds_;
    std::vector<fired_fault> fired_;
    std::map<std::string, instant> draining_since_;
    std::map<std::pair<std::string, std::string>, int> active_cuts_;
    int lost_writes_ = 0;
    int store_outages_ = 0;
    int lost_answers_ = 0;
    int disordered_ = 0;
    bool ended_ = false;
};

} // namespace agateledge

#endif
