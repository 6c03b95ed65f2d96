#ifndef AGATELEDGE_DAEMON_LOOP_HPP
#define AGATELEDGE_DAEMON_LOOP_HPP

#include "outbox.hpp"
#include "time.hpp"

#include <functional>
#include <memory>

namespace agateledge
{

struct world;

/// Carries out the output of a tick; an empty handler ignores its kind.
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
    std::function<void(relay_answer const &)> answer_relay;
    std::function<void(relay_cancel const &)> cancel_relay;
    std::function<void(relay_call const &)> call_instance;
    std::function<void(kv_release const &)> release_kv;
    std::function<void(cache_read const &)> read_cache;
    std::function<void(row_read const &)> read_rows;
    std::function<void(daemon_row_write const &)> write_daemon_row;
    std::function<void(peer_load_send const &)> send_peer_load;
    /// Runs after all replies of a tick, so that they can be sent together.
    std::function<void()> flush_replies;
    std::function<void()> stop;
};

/// Runs the tick of one daemon on the default GLib main context: soon after new
/// input, and at `world::next_wake` at the latest. Several daemons may share
/// the context (`agateledge dev`).
class daemon_loop
{
public:
    /// @param state the daemon; outlives the loop
    explicit daemon_loop(world &state);
    ~daemon_loop();
    daemon_loop(daemon_loop const &) = delete;
    daemon_loop &operator=(daemon_loop const &) = delete;

    /// @return the input of the next tick, which is scheduled by this call
    inbox &input();

    /// Handlers that the adapters install before the loop runs.
    output_handlers handlers;

    /// @return CLOCK_BOOTTIME, which also advances while the process is paused
    static instant clock_now();

private:
    void schedule_now();
    void schedule_wake();
    void run_tick();
    void carry_out();

    world &state_;
    unsigned idle_source_ = 0;
    unsigned timer_source_ = 0;
};

} // namespace agateledge

#endif
