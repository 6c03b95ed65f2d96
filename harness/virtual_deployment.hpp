#ifndef AGATELEDGE_VIRTUAL_DEPLOYMENT_HPP
#define AGATELEDGE_VIRTUAL_DEPLOYMENT_HPP

#include "configuration.hpp"
#include "random_source.hpp"
#include "standin_engine.hpp"
#include "standin_service.hpp"
#include "standin_table.hpp"
#include "time.hpp"
#include "world.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace agateledge
{

/// One daemon of a virtual deployment.
struct virtual_daemon
{
    std::unique_ptr<world> state;
    bool alive = true;
    bool paused = false;
    /// Time of the tick that is already planned.
    instant planned_tick = instant::max();
    /// Times at which the queue holds a check whether a tick is due.
    std::set<instant> queued_checks;
};

/// One engine of a virtual deployment.
struct virtual_engine
{
    std::unique_ptr<standin_engine> model;
    std::string data_centre;
    bool reachable = true;
    instant planned_step = instant::max();
    /// Daemon and attempt that each stream's events go to.
    std::map<std::string, std::pair<std::size_t, attempt_number>> readers;
    /// Last cache event that was reported.
    std::uint64_t cache_sequence = 0;
};

/// Delays of a virtual deployment, one way.
struct virtual_delays
{
    duration within_data_centre = microseconds(250);
    duration between_data_centres = microseconds(1500);
    duration table_service = milliseconds(2);
    duration load_report_interval = milliseconds(200);
    duration load_report_lag = milliseconds(300);
    duration host_report_interval = seconds(2);
    /// Time after which a call between daemons counts as failed.
    duration peer_call_timeout = milliseconds(500);
    /// Share of the batches of cache events that are lost.
    double cache_event_loss = 0.05;
};

/// Runs the shipped decision code of a few daemons against the stand-ins in
/// virtual time. Messages are closures in one queue ordered by time; the same
/// seed gives the same run.
class virtual_deployment
{
public:
    /// @param config configuration that every daemon starts with
    /// @param daemons data centre of each daemon
    /// @param seed seed of all random decisions
    virtual_deployment(configuration const &config,
                       std::vector<std::string> const &daemons,
                       std::uint64_t seed);

    /// Plans `action` at `when`.
    void at(instant when, std::function<void()> action);

    /// Runs one planned action.
    ///
    /// @return false when none is left before `end`
    bool step(instant end);

    /// Runs until `end`.
    void run_until(instant end);

    /// Gives a request to a daemon; the answer arrives at `on_reply`.
    void submit(std::size_t daemon, request_arrival arrival);

    instant now() const { return now_; }
    random_source &random() { return random_; }
    std::vector<virtual_daemon> &daemons() { return daemons_; }
    std::vector<virtual_daemon> const &daemons() const { return daemons_; }
    std::map<std::string, virtual_engine> &engines() { return engines_; }
    std::map<std::string, standin_service> &services() { return services_; }
    standin_table &table() { return table_; }
    standin_table const &table() const { return table_; }
    virtual_delays &delays() { return delays_; }
    /// Data centres that are cut off from the others.
    std::set<std::string> &isolated() { return isolated_; }

    /// Hook for writes whose answer is lost: returns true when the write itself
    /// is lost as well, so that it has no effect.
    std::function<bool(table_call const &)> table_loses;

    /// The platform's list of hosts, which every daemon receives; empty for
    /// none.
    std::vector<host_entry> &hosts() { return hosts_; }

    /// Hook for partitions between daemons: returns false when nothing passes
    /// from one to the other.
    std::function<bool(std::size_t from, std::size_t to)> daemon_reachable;

    /// Hook for orders: returns the extra delay of each copy that reaches the
    /// engine; without the hook one copy arrives without extra delay.
    std::function<std::vector<duration>(engine_order const &)> order_copies;

    /// Called with each reply to an operator.
    std::function<void(std::size_t daemon, operator_reply const &)>
        on_operator_reply;

    /// Called with each copy of an order that reached its engine.
    std::function<void(engine_order const &, order_outcome)> on_order;

    /// Called with each reply to a caller.
    std::function<void(std::size_t daemon, caller_reply const &)> on_reply;

    /// Length of the answer to a request, in tokens; by the request's seed.
    std::function<int(engine_call const &)> output_tokens;

    /// Hook through which faults change the fate of a message to the table
    /// service: returns the outcome in place of the real one, or nothing.
    std::function<std::optional<table_outcome>(std::size_t daemon,
                                               table_call const &)>
        table_fault;

private:
    struct planned_action
    {
        instant when;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator>(planned_action const &other) const
        {
            return std::tie(when, sequence) >
                   std::tie(other.when, other.sequence);
        }
    };

    void plan_tick(std::size_t daemon, instant when);
    void check_tick(std::size_t daemon, instant when);
    void run_tick(std::size_t daemon);
    void carry_out(std::size_t daemon);
    void send_engine_call(std::size_t daemon, engine_call const &call);
    void deliver_engine_call(std::size_t daemon, engine_call const &call);
    void send_service_call(std::size_t daemon, service_call const &call);
    void send_table_call(std::size_t daemon, table_call const &call);
    void deliver_table_call(std::size_t daemon, table_call const &call);
    void send_order_call(std::size_t daemon, order_call const &call);
    void deliver_order(std::size_t daemon, engine_order const &order);
    void send_peer_call(std::size_t daemon, peer_call const &call);
    void answer_peer_call(std::size_t daemon, std::size_t peer,
                          heartbeat const &message);
    void fail_peer_call(std::size_t daemon, std::string const &peer);
    void send_configuration_fetch(std::size_t daemon,
                                  configuration_fetch const &fetch);
    bool reaches(std::size_t from, std::size_t to) const;
    std::optional<std::size_t> find_daemon(std::string const &name) const;
    void add_peers();
    void report_hosts();
    void plan_step(std::string const &engine);
    void advance_engine(std::string const &engine);
    void report_loads();
    void report_cache_events(virtual_engine &engine);
    void deliver_event(std::size_t daemon, engine_event event);
    void deliver_events(std::size_t daemon, std::vector<engine_event> events);
    bool reachable(std::size_t daemon, std::string const &engine) const;
    duration delay_to(std::size_t daemon, std::string const &data_centre) const;

    random_source random_;
    instant now_{};
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<planned_action, std::vector<planned_action>,
                        std::greater<>>
        queue_;
    virtual_delays delays_;
    std::set<std::string> isolated_;
    std::vector<virtual_daemon> daemons_;
    std::map<std::string, virtual_engine> engines_;
    std::map<std::string, standin_service> services_;
    standin_table table_;
    std::vector<host_entry> hosts_;
};

} // namespace agateledge

#endif
