#ifndef AGATELEDGE_RELAY_STATE_HPP
#define AGATELEDGE_RELAY_STATE_HPP

#include "due_queue.hpp"
#include "ids.hpp"
#include "instance_table.hpp"
#include "load_exchange.hpp"
#include "relay_limits.hpp"
#include "relay_metrics.hpp"
#include "relay_table.hpp"
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

/// What this daemon knows of one followed table.
struct table_follower
{
    /// The table is to be read whole.
    bool whole = true;
    bool in_flight = false;
    /// Key after which a whole read goes on.
    std::string after_key;
    /// Version of the first page of a whole read.
    std::uint64_t first_page_version = 0;
    /// Version up to which the table is known.
    std::uint64_t version = 0;
    instant next_read{};
    int failures = 0;
    /// True once the table has been read whole.
    bool known = false;
    instant confirmed_at{};
};

/// Whether the platform's store answers this daemon.
struct store_condition
{
    bool reachable = false;
    /// False until the first reply or failure.
    bool known = false;
    instant changed_at{};
    /// Time of the last failed call.
    std::optional<instant> failed_at;
    /// Time of the first answer after a failure.
    instant restored_at{};
};

/// Daemon of the fleet, from its row.
struct daemon_peer
{
    /// Time at which the row last changed.
    instant seen_at{};
    /// Where it receives reports; empty when not told.
    std::string address;
    std::string data_centre;
};

/// Daemons that are assumed to be live at least: rows of daemons that started
/// moments ago may not have been read.
constexpr double fewest_counted_daemons = 4;

/// Tables of the requests that are passed on unchanged.
struct relay_state
{
    /// False in a daemon that serves only the product's own interface;
    /// `tick_relays` does not run then.
    bool enabled = false;
    relay_limits limits;
    std::shared_ptr<routing_configuration const> routing =
        std::make_shared<routing_configuration const>();
    /// By service; derived from `routing` by `put_routing`.
    std::map<std::string, duration> pause_bounds;
    instance_table instances;
    /// Instances that the pages of the present whole read returned.
    std::vector<std::string> listed;
    relay_table requests;
    /// Requests without a call, oldest first.
    std::vector<request_number> waiting;
    due_queue<request_number> expiries;
    std::map<std::string, shared_retry_budget> budgets;
    std::array<table_follower, followed_table_count> followers;
    store_condition store;
    /// Daemons by name, with this one once its row has been read.
    std::map<std::string, daemon_peer> daemons;
    load_exchange load;
    /// Where this daemon receives reports of others.
    std::string peer_address;
    instant next_daemon_row{};
    /// Time from which the health of instances is compared again.
    instant next_judgement{};
    /// Prompt tokens that an idle engine reads in a millisecond, learned by
    /// service and role.
    std::map<std::pair<std::string, engine_role>, double> prefill_speeds;
    relay_metrics metrics;
    std::optional<instant> stopping_since;
    /// Last time at which a request was open, while stopping.
    instant last_open{};

    /// Puts a configuration in force.
    void put_routing(std::shared_ptr<routing_configuration const> next)
    {
        routing = std::move(next);
        pause_bounds = pause_bounds_of(*routing);
    }

    /// @return daemons among which the bounds of the deployment are divided
    double sharing_daemons() const
    {
        return std::max(static_cast<double>(daemons.size()),
                        fewest_counted_daemons);
    }
};

} // namespace agateledge

#endif
