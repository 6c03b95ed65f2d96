#ifndef AGATELEDGE_CAPACITY_STATE_HPP
#define AGATELEDGE_CAPACITY_STATE_HPP

#include "activity_table.hpp"
#include "load_history.hpp"
#include "plan_capacity.hpp"
#include "proxy_metrics.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Names the engines whose number an order states.
struct capacity_group_id
{
    std::string service;
    std::string data_centre;
    bool reclaimable = false;

    auto operator<=>(capacity_group_id const &) const = default;
};

/// What a service is planned from, besides its groups.
struct service_capacity
{
    load_history history;
    bool load_known = false;
    /// See `capacity_view`.
    bool load_was_known = false;
    int configured_total = 0;
    int held_total = 0;
    int needed = 0;
};

/// Order that was written to the row and is not answered yet.
struct open_order
{
    planned_order planned;
    /// Number and time of the last order before this one.
    std::optional<int> ordered_before;
    instant ordered_at_before{};
    /// Number of the open call; 0 between calls.
    std::uint64_t operation = 0;
    /// Time of the next call, or of the last one's loss without a reply.
    instant due_at{};
    int failures = 0;
    /// A call may have taken effect.
    bool is_uncertain = false;
};

/// Progress of the row `capacity`.
struct capacity_row_state
{
    bool is_known = false;
    std::uint64_t version = 0;
    /// Number of the open transaction; 0 for none.
    std::uint64_t operation = 0;
    /// The open transaction writes `capacity_state::unwritten`.
    bool is_write = false;
    /// Era of the store when the transaction was sent.
    std::uint64_t era = 0;
    /// Time at which the open transaction counts as lost.
    instant lost_at{};
    instant retry_at{};
    int failures = 0;
};

/// State of `order_capacity`.
struct capacity_state
{
    activity_table activity;
    instant next_sample{};
    std::map<std::string, service_capacity> services;
    std::map<capacity_group_id, capacity_group> groups;
    /// This daemon had authority in the last tick.
    bool is_holder = false;
    /// Fencing token of the last authority, which the state below belongs to; 0
    /// before the first one.
    std::uint64_t fencing = 0;
    capacity_row_state row;
    /// Highest era that the store has named.
    std::uint64_t era = 0;
    /// Number of the last transaction or call. Replies of the platform do not
    /// name the pass that they are for, so the numbers of this pass are above
    /// those of others.
    std::uint64_t last_operation = std::uint64_t{1} << 62;
    instant next_plan{};
    /// Orders whose row is being written.
    std::vector<open_order> unwritten;
    std::vector<open_order> open;
    /// Replies to orders by result.
    proxy_metrics::counter_map results;
};

} // namespace agateledge

#endif
