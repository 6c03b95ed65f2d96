#ifndef AGATELEDGE_DAEMON_LOOP_HPP
#define AGATELEDGE_DAEMON_LOOP_HPP

#include "outbox.hpp"
#include "poll_clock.hpp"
#include "time.hpp"

#include <functional>
#include <memory>

namespace agateledge
{

struct world;

/// Handlers for the output of a tick, one per kind of output. Output whose
/// handler is empty is dropped.
struct output_handlers
{
    std::function<void(log_entry const &)> write_log;
    std::function<void(caller_reply const &)> reply_to_caller;
    std::function<void(engine_call const &)> call_engine;
    std::function<void(attempt_cancel const &)> cancel_attempt;
    std::function<void(service_call const &)> call_service;
    std::function<void(table_call const &)> call_table;
    std::function<void(order_call const &)> send_order;
    std::function<void(peer_call const &)> call_peer;
    std::function<void(configuration_fetch const &)> fetch_configuration;
    std::function<void(operator_reply const &)> reply_to_operator;
    std::function<void(proxy_answer const &)> answer_proxied_request;
    std::function<void(proxy_cancel const &)> cancel_proxied_request;
    std::function<void(proxy_call const &)> call_instance;
    std::function<void(kv_release const &)> release_kv;
    std::function<void(cache_read const &)> read_cache;
    std::function<void(row_read const &)> read_rows;
    std::function<void(daemon_row_write const &)> write_daemon_row;
    std::function<void(peer_load_send const &)> send_peer_load;
    std::function<void(part_evidence_send const &)> send_part_evidence;
    std::function<void(std::shared_ptr<row_transaction const> const &)>
        write_rows;
    std::function<void(std::shared_ptr<platform_call const> const &)>
        call_platform;
    std::function<void(std::shared_ptr<engine_role_order const> const &)>
        order_engine_role;
    std::function<void(peer_report<store_view_report> const &)> send_store_view;
    std::function<void(peer_report<usage_snapshot> const &)>
        send_usage_snapshot;
    std::function<void(peer_report<account_load_report> const &)>
        send_account_load;
    /// Runs after all caller replies of a tick, so that they can be sent
    /// together.
    std::function<void()> flush_replies;
    /// Runs when the tick reports that the shutdown is complete.
    std::function<void()> stop;
};

/// Schedules the ticks of one daemon on the default GLib main context: as soon
/// as possible after new input, and no later than `world::next_wake`. Several
/// daemons may share the context (`agateledge dev`).
class daemon_loop
{
public:
    /// @param state the daemon; outlives the loop
    explicit daemon_loop(world &state);
    ~daemon_loop();
    daemon_loop(daemon_loop const &) = delete;
    daemon_loop &operator=(daemon_loop const &) = delete;

    /// Schedules a tick.
    ///
    /// @return the inbox that the next tick reads
    inbox &input();

    /// Installed by the adapters before the main loop runs.
    output_handlers handlers;

    /// @return earliest time at which input that is handled now can have
    /// arrived
    instant input_since() const { return polls_.input_since(); }

    poll_clock &polls() { return polls_; }

    /// @return CLOCK_BOOTTIME, which also advances while the host is suspended
    static instant clock_now();

private:
    void schedule_now();
    void schedule_wake();
    void run_tick();
    void dispatch_outbox();

    world &state_;
    poll_clock polls_;
    unsigned idle_source_ = 0;
    unsigned timer_source_ = 0;
};

} // namespace agateledge

#endif
