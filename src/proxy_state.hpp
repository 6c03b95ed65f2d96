#ifndef AGATELEDGE_PROXY_STATE_HPP
#define AGATELEDGE_PROXY_STATE_HPP

#include "due_queue.hpp"
#include "ids.hpp"
#include "incarnation_deadlines.hpp"
#include "instance_table.hpp"
#include "load_exchange_state.hpp"
#include "part_evidence_state.hpp"
#include "proxy_limits.hpp"
#include "proxy_metrics.hpp"
#include "proxy_table.hpp"
#include "reply_memory.hpp"
#include "request_limit_table.hpp"
#include "routing_configuration.hpp"
#include "row_messages.hpp"
#include "shared_retry_budget.hpp"
#include "time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

struct account_state;
struct capacity_state;
struct duty_state;
struct engine_role_state;
struct store_view_state;

/// Progress of reading one polled table of the store.
struct table_poll_state
{
    /// The next read starts or continues a full read of the table.
    bool needs_full_read = true;
    bool in_flight = false;
    /// Key after which a full read continues.
    std::string after_key;
    /// Version of the first page of a full read.
    std::uint64_t first_page_version = 0;
    /// Version up to which changes have been read.
    std::uint64_t version = 0;
    instant next_read{};
    int failures = 0;
    /// Those of them that no late main loop explains.
    int timely_failures = 0;
    /// True once a full read has completed.
    bool fully_read = false;
};

/// Reachability of the platform's store.
struct store_condition
{
    bool reachable = false;
    /// False until the first reply or failure.
    bool known = false;
    instant changed_at{};
    /// Time of the last failed call.
    std::optional<instant> failed_at;
    /// Latest start of a call that failed: the store was away at that time.
    instant away_at{};
    /// Time of the last answer.
    instant answered_at{};
    /// Time of the first answer after a failure.
    instant restored_at{};
    /// Highest era that the store has named; 0 when it names none.
    std::uint64_t era = 0;
};

/// A daemon of the deployment, from its row in the store.
struct daemon_peer
{
    /// Time at which the row last changed.
    instant row_changed_at{};
    /// Address at which it receives reports; empty when it announces none.
    std::string address;
    std::string data_centre;
};

/// Minimum number of live daemons that is assumed: the rows of daemons that
/// have just started may not have been read yet.
constexpr double min_assumed_daemons = 4;

/// State of the proxy.
struct proxy_state
{
    /// False in a daemon that serves only the product's own interface;
    /// `tick_proxy` does not run then.
    bool enabled = false;
    proxy_limits limits;
    std::shared_ptr<routing_configuration const> routing =
        std::make_shared<routing_configuration const>();
    /// Maximum gaps between stream events by service; derived from
    /// `routing` by `set_routing`.
    std::map<std::string, duration> max_event_gaps;
    instance_table instances;
    /// Ids of the instances returned so far by the full read in progress.
    std::vector<std::string> listed_instances;
    proxy_table requests;
    /// Requests without a call, oldest first.
    std::vector<request_number> waiting;
    due_queue<request_number> expiries;
    std::map<std::string, shared_retry_budget> budgets;
    std::array<table_poll_state, polled_table_count> table_polls;
    store_condition store;
    /// Instances that announced that they leave, with the times at which the
    /// announcements are forgotten.
    incarnation_deadlines leaving_instances;
    instant next_leaving_check{};
    /// Instances that asked for no further requests, with the ends of these
    /// pauses.
    incarnation_deadlines paused_instances;
    /// Request limits that instances name in their replies.
    request_limit_table request_limits;
    /// Daemons by name, including this one once its row has been read.
    std::map<std::string, daemon_peer> daemons;
    load_exchange_state load;
    part_evidence_state part_evidence;
    /// Address at which this daemon receives reports of others.
    std::string peer_address;
    instant next_daemon_row{};
    /// Earliest time of the next comparison of instance health.
    instant next_health_check{};
    /// Estimated prompt tokens that an idle engine prefills in a millisecond,
    /// by service and role.
    std::map<std::pair<std::string, engine_role>, double> prefill_speeds;
    /// Estimated time between two events of a stream at an engine that
    /// prefills nothing meanwhile, by service.
    std::map<std::string, duration> event_times;
    struct reply_memory reply_memory;
    /// State of the passes that only some deployments call for, each created by
    /// its pass. Held by pointer, so that a change of one of these types does
    /// not rebuild all passes.
    std::shared_ptr<account_state> accounts;
    std::shared_ptr<duty_state> duties;
    std::shared_ptr<capacity_state> capacity;
    std::shared_ptr<engine_role_state> roles;
    std::shared_ptr<store_view_state> store_view;
    proxy_metrics metrics;
    std::optional<instant> stopping_since;
    /// Last time at which a request was open during shutdown.
    instant last_open_at{};

    /// Applies a new configuration.
    void set_routing(std::shared_ptr<routing_configuration const> next)
    {
        routing = std::move(next);
        max_event_gaps = max_event_gap_by_service(*routing);
    }

    /// @return true when this incarnation announced that it leaves
    bool is_leaving(instance_definition const &instance) const
    {
        return leaving_instances.find(instance).has_value();
    }

    /// @return end of the pause that this incarnation asked for; the epoch when
    ///         it asked for none
    instant paused_until(instance_definition const &instance) const
    {
        return paused_instances.find(instance).value_or(instant{});
    }

    /// @return time from which the instance takes another request of this
    ///         daemon, as far as it limits its requests
    instant within_limit_from(instance_definition const &instance,
                              instant now) const
    {
        return request_limits.next_send(instance, now, effective_fleet_size());
    }

    /// @return number of daemons among which the limits of the deployment are
    ///         divided
    double effective_fleet_size() const
    {
        return std::max(static_cast<double>(daemons.size()),
                        min_assumed_daemons);
    }
};

} // namespace agateledge

#endif
