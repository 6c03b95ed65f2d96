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
#include <utility>
#include <vector>

namespace agateledge
{

/// One daemon of a virtual deployment.
struct virtual_daemon
{
    daemon_identity identity;
    std::unique_ptr<world> state;
    bool alive = true;
    bool paused = false;
    std::uint64_t incarnation = 1;
    /// Time of the tick that is already planned.
    instant planned_tick = instant::max();
    /// Times at which the queue holds a check whether a tick is due.
    std::set<instant> queued_checks;
};

/// Sender of a message, to which the answer goes back. An answer to a daemon
/// that has been restarted since is lost.
struct virtual_origin
{
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;

    auto operator<=>(virtual_origin const &) const = default;
};

/// Reader of a stream of an engine.
struct virtual_reader
{
    virtual_origin origin;
    attempt_number attempt;

    auto operator<=>(virtual_reader const &) const = default;
};

/// What becomes of one message.
struct message_fate
{
    bool lost = false;
    bool doubled = false;
    /// Added to the delay of the message.
    duration delay{};
};

/// One engine of a virtual deployment.
struct virtual_engine
{
    std::unique_ptr<standin_engine> model;
    std::string data_centre;
    bool reachable = true;
    instant planned_step = instant::max();
    std::map<std::string, virtual_reader> readers;
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
    /// Time after which a call without an answer counts as failed.
    duration call_timeout = seconds(2);
    /// Time that a plain service takes for a call.
    duration service_time = milliseconds(2);
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

    /// Tells a daemon that a caller closed its connection.
    void depart(std::size_t daemon, request_number request);

    /// Ends a daemon at once; what it has not sent is lost.
    void kill(std::size_t daemon);

    /// Starts a daemon that has ended, as a new incarnation without state.
    void restart(std::size_t daemon);

    /// Stops a daemon from running; messages to it are kept.
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);

    /// Asks a daemon to shut down; `on_stopped` is called when it has ended.
    void stop(std::size_t daemon);

    /// Writes `config()` to the table service as the current revision.
    void store_configuration();

    /// Proposes a configuration at a daemon, as an operator does.
    void propose(std::size_t daemon, configuration next);

    /// Loses all state of an engine and breaks its connections.
    void crash_engine(std::string const &name);

    /// @return true when no message passes between the two data centres;
    ///         "platform" stands for the platform's services
    bool is_cut(std::string const &one, std::string const &other) const;

    /// Pairs of data centres between which no message passes.
    std::set<std::pair<std::string, std::string>> cuts;

    /// Endpoints that refuse connections.
    std::set<std::string> closed_endpoints;

    /// Configuration that restarted daemons begin with.
    configuration &config() { return config_; }

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

    /// Called when a daemon has shut down.
    std::function<void(std::size_t daemon)> on_stopped;

    /// Called when work is sent to an engine or endpoint.
    std::function<void(std::size_t daemon, std::string const &target)> on_send;

    /// Called when a plain service carries out a call.
    std::function<void(std::size_t daemon, request_number,
                       service_call const &)>
        on_service_effect;

    /// Fate of an engine's event on its way to the daemon.
    std::function<message_fate(engine_event const &)> event_fate;

    /// Fate of the answer of a plain service.
    std::function<message_fate(service_call const &)> answer_fate;

    /// Time after which a write with a lost answer takes effect.
    std::function<duration()> late_write;

    /// Called with a new daemon before its first tick.
    std::function<void(world &)> on_start;

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
    void start(std::size_t daemon);
    virtual_origin origin_of(std::size_t daemon) const;
    std::string const &data_centre_of(std::size_t daemon) const;
    void deliver(virtual_origin origin, duration delay,
                 std::function<void(inbox &)> put);
    void send_engine_call(std::size_t daemon, engine_call const &call);
    void deliver_engine_call(virtual_origin origin, engine_call const &call);
    void attach_stream(virtual_origin origin, engine_call const &call);
    void fail_engine_call(virtual_origin origin, engine_call const &call,
                          engine_event_kind kind, duration delay);
    void send_attempt_cancel(std::size_t daemon, attempt_cancel const &cancel);
    void send_service_call(std::size_t daemon, service_call const &call);
    void answer_service_call(virtual_origin origin, request_number request,
                             service_call const &call,
                             endpoint_definition const &endpoint);
    void send_table_call(std::size_t daemon, table_call const &call);
    void deliver_table_call(virtual_origin origin, table_call const &call);
    table_reply apply_table_call(virtual_origin origin, table_call const &call);
    void send_order_call(std::size_t daemon, order_call const &call);
    void deliver_order(virtual_origin origin, engine_order const &order);
    void send_peer_call(std::size_t daemon, peer_call const &call);
    void answer_peer_call(virtual_origin origin, std::size_t peer,
                          heartbeat const &message);
    void fail_peer_call(virtual_origin origin, std::string const &peer);
    void send_configuration_fetch(std::size_t daemon,
                                  configuration_fetch const &fetch);
    bool reaches(std::size_t from, std::size_t to) const;
    std::optional<std::size_t> find_daemon(std::string const &name) const;
    void add_peers(world &w);
    void report_hosts();
    void plan_step(std::string const &engine);
    void advance_engine(std::string const &engine);
    void report_loads();
    void report_cache_events(virtual_engine &engine);
    void deliver_event(std::string const &data_centre, virtual_reader reader,
                       standin_event event);
    void deliver_events(std::string const &data_centre, virtual_origin origin,
                        std::vector<engine_event> events);
    duration delay_to(std::size_t daemon, std::string const &data_centre) const;

    configuration config_;
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
