#ifndef AGATELEDGE_WORLD_HPP
#define AGATELEDGE_WORLD_HPP

#include "attempt_table.hpp"
#include "caller_table.hpp"
#include "candidate_index.hpp"
#include "circuit_table.hpp"
#include "claim_table.hpp"
#include "configuration.hpp"
#include "configuration_state.hpp"
#include "cost_table.hpp"
#include "counters.hpp"
#include "daemon_identity.hpp"
#include "decision_hooks.hpp"
#include "dispatch_queue.hpp"
#include "due_queue.hpp"
#include "endpoint_table.hpp"
#include "engine_table.hpp"
#include "fault_switches.hpp"
#include "ids.hpp"
#include "inbox.hpp"
#include "latency_window.hpp"
#include "lease_table.hpp"
#include "operator_query_state.hpp"
#include "order_table.hpp"
#include "outbox.hpp"
#include "peer_table.hpp"
#include "prefix_view.hpp"
#include "proxy_state.hpp"
#include "random_source.hpp"
#include "request_table.hpp"
#include "retry_budget.hpp"
#include "role_plan.hpp"
#include "time.hpp"
#include "usage_table.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace agateledge
{

/// The complete state of one daemon. The systems, which run once a tick, read
/// and change it. It does not read a clock, a socket or the operating system's
/// random source, so that a tick is deterministic: the caller sets the time and
/// the input, and `random` is seeded.
struct world
{
    /// @param self identity of this daemon
    /// @param seed seed of the daemon's random decisions
    world(daemon_identity self, std::uint64_t seed)
        : identity(std::move(self)), random(seed)
    {
    }

    daemon_identity identity;
    random_source random;
    /// Time of the current tick.
    instant now{};
    /// Time of the next tick if no input arrives before. Systems lower it
    /// through `wake_at`.
    std::optional<instant> next_wake;
    /// Time by which the current tick began later than it had to.
    duration lateness{};
    /// Configuration in force.
    configuration config;
    /// Configuration from the settings; written as the first revision when the
    /// table service has none.
    std::optional<configuration> initial_config;
    configuration_state config_sync;
    engine_table engines;
    candidate_index candidates;
    endpoint_table endpoints;
    request_table requests;
    attempt_table attempts;
    /// Requests that entered the state `waiting` since `dispatch_requests` last
    /// ran, which moves them to `queue`.
    std::deque<request_number> waiting;
    dispatch_queue queue;
    /// Waiting requests by the earliest time at which they may be dispatched.
    due_queue<request_number> deferred;
    claim_table claims;
    retry_budget retries;
    /// Idempotent calls of plain services by the time at which they are hedged.
    due_queue<request_number> hedges;
    /// Observed latencies, by name of the plain service.
    std::map<std::string, latency_window> call_latencies;
    /// Time of the next check of engines that are being drained.
    instant next_drain_check{};
    lease_table leases;
    order_table orders;
    peer_table peers;
    caller_table callers;
    cost_table costs;
    circuit_table circuits;
    role_plan plan;
    prefix_view prefixes;
    usage_table usage;
    operator_query_state queries;
    counters totals;
    proxy_state proxy;
    fault_switches faults;
    decision_hooks hooks;
    /// True once a shutdown has been requested.
    bool draining = false;
    /// Time of the shutdown request.
    std::optional<instant> draining_since;
    /// Number of the last operation on the table service.
    std::uint64_t last_operation = 0;
    inbox in;
    outbox out;
};

/// Schedules the next tick for `when` or earlier.
inline void wake_at(world &w, instant when)
{
    if (!w.next_wake || when < *w.next_wake)
    {
        w.next_wake = when;
    }
}

} // namespace agateledge

#endif
