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
    /// Time of the next planned tick.
    instant planned_tick = instant::max();
    /// Times for which a call of `check_tick` is queued.
    std::set<instant> queued_checks;
};

/// Daemon incarnation that sent a message and receives the answer. An answer is
/// dropped if the daemon has restarted in the meantime.
struct virtual_origin
{
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;

    auto operator<=>(virtual_origin const &) const = default;
};

/// Attempt that receives the events of an engine's stream.
struct virtual_reader
{
    virtual_origin origin;
    attempt_number attempt;

    auto operator<=>(virtual_reader const &) const = default;
};

/// Fault that is applied to one message; by default none.
struct message_fault
{
    bool lost = false;
    bool duplicated = false;
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
    /// Sequence number of the last reported cache event.
    std::uint64_t cache_sequence = 0;
};

/// Network delays (one way), time-outs and report intervals of a virtual
/// deployment.
struct virtual_delays
{
    duration within_data_centre = microseconds(250);
    duration between_data_centres = microseconds(1500);
    duration table_service = milliseconds(2);
    duration load_report_interval = milliseconds(200);
    duration load_report_lag = milliseconds(300);
    /// Time after which a call without an answer counts as failed.
    duration call_timeout = seconds(2);
    /// Time that a service without a model takes for a call.
    duration service_time = milliseconds(2);
    duration host_report_interval = seconds(2);
    /// Time after which a call between daemons counts as failed.
    duration peer_call_timeout = milliseconds(500);
    /// Probability that a batch of cache events is lost.
    double cache_event_loss = 0.05;
};

/// Discrete-event simulation that runs the production decision code of several
/// daemons against stand-in engines and services in virtual time. Messages are
/// closures in one queue ordered by time, so that a seed determines the run.
class virtual_deployment
{
public:
    /// @param config configuration that every daemon starts with
    /// @param daemons data centre of each daemon
    /// @param seed seed of all random decisions
    virtual_deployment(configuration const &config,
                       std::vector<std::string> const &daemons,
                       std::uint64_t seed);

    /// Schedules `action` at `when`, or now if `when` has passed.
    void at(instant when, std::function<void()> action);

    /// Runs the next scheduled action.
    ///
    /// @return false when none is scheduled up to `end`
    bool step(instant end);

    /// Runs all actions scheduled up to `end`.
    void run_until(instant end);

    /// Submits a request to a daemon; replies are passed to `on_reply`.
    void submit(std::size_t daemon, request_arrival arrival);

    /// Reports to a daemon that the caller of a request closed its connection.
    void disconnect_caller(std::size_t daemon, request_number request);

    /// Terminates a daemon immediately; its unsent output is lost.
    void kill(std::size_t daemon);

    /// Starts a terminated daemon again, as a new incarnation without state.
    void restart(std::size_t daemon);

    /// Suspends a daemon; messages to it are queued until `resume`.
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);

    /// Requests a planned shutdown; `on_stopped` is called when it is complete.
    void stop(std::size_t daemon);

    /// Writes `config()` to the table service as the current revision.
    void store_configuration();

    /// Proposes a configuration at a daemon, as an operator does.
    void propose(std::size_t daemon, configuration next);

    /// Discards all state of an engine and breaks its connections.
    void crash_engine(std::string const &name);

    /// @return true when no message is delivered between the two data centres;
    ///         "platform" stands for the platform's services
    bool is_cut(std::string const &one, std::string const &other) const;

    /// Pairs of data centres between which no message is delivered.
    std::set<std::pair<std::string, std::string>> cuts;

    /// Endpoints that refuse connections.
    std::set<std::string> closed_endpoints;

    /// Initial configuration of restarted daemons.
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

    /// Hook for writes whose answer is lost: returns true when the write is
    /// lost too and has no effect.
    std::function<bool(table_call const &)> lose_table_write;

    /// The platform's list of hosts, which is reported to every daemon; nothing
    /// is reported while it is empty.
    std::vector<host_entry> &hosts() { return hosts_; }

    /// Hook for partitions between daemons: returns false when no message is
    /// delivered from one to the other.
    std::function<bool(std::size_t from, std::size_t to)> daemon_reachable;

    /// Hook for duplicated and delayed orders: returns the extra delay of each
    /// copy that reaches the engine. Without it, one copy arrives without extra
    /// delay.
    std::function<std::vector<duration>(engine_order const &)> order_copies;

    /// Called with each reply to an operator.
    std::function<void(std::size_t daemon, operator_reply const &)>
        on_operator_reply;

    /// Called with each copy of an order and its outcome, also when the engine
    /// is unreachable.
    std::function<void(engine_order const &, order_outcome)> on_order;

    /// Called with each reply to a caller.
    std::function<void(std::size_t daemon, caller_reply const &)> on_reply;

    /// Called when a daemon has shut down.
    std::function<void(std::size_t daemon)> on_stopped;

    /// Called when a daemon sends a new engine call or a service call; not for
    /// attaching to a stream.
    std::function<void(std::size_t daemon, std::string const &target)>
        on_work_sent;

    /// Called when a service has executed a call.
    std::function<void(std::size_t daemon, request_number,
                       service_call const &)>
        on_service_effect;

    /// Hook that returns the fault for an engine event sent to a daemon.
    std::function<message_fault(engine_event const &)> engine_event_fault;

    /// Hook that returns the fault for a service's answer.
    std::function<message_fault(service_call const &)> service_reply_fault;

    /// Hook that returns the delay after which a write with a lost answer takes
    /// effect.
    std::function<duration()> late_write_delay;

    /// Called with the world of a started daemon before its first tick.
    std::function<void(world &)> on_start;

    /// Hook that returns the length of an answer in tokens; without it, the
    /// call's maximum.
    std::function<int(engine_call const &)> output_tokens;

    /// Hook for faults of the table service: returns an outcome that replaces
    /// the real one, or nothing.
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
    void dispatch_outbox(std::size_t daemon);
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
