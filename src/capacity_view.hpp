#ifndef AGATELEDGE_CAPACITY_VIEW_HPP
#define AGATELEDGE_CAPACITY_VIEW_HPP

#include "routing_configuration.hpp"
#include "time.hpp"

#include <algorithm>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Load that all daemons together put on a service.
struct service_load
{
    /// Prompt tokens that engines had to prefill per second: mean of the last
    /// seconds, and the highest value among them.
    double mean_tokens_per_s = 0;
    double peak_tokens_per_s = 0;
    /// Highest number of open requests in the last seconds.
    double peak_open_requests = 0;
    /// Share of the requests that were answered late or refused.
    double failing_share = 0;

    auto operator<=>(service_load const &) const = default;
};

/// Numbers of engines by role.
struct role_counts
{
    int prefill = 0;
    int decode = 0;
    int mixed = 0;

    int total() const { return prefill + decode + mixed; }

    auto operator<=>(role_counts const &) const = default;
};

/// Prompt tokens that an idle engine prefills per second, by role.
struct role_speeds
{
    double prefill = 0;
    double decode = 0;
    double mixed = 0;

    auto operator<=>(role_speeds const &) const = default;
};

/// Engines of a service in one data centre, either ordinary or reclaimable
/// ones; an order states their number.
struct capacity_group
{
    std::string data_centre;
    bool reclaimable = false;
    /// Engines that take new work.
    role_counts serving;
    /// Number of the last order; none before the first one.
    std::optional<int> ordered;
    instant ordered_at{};
    /// Number that the group has had; kept while the load is unknown.
    int held = 0;
    /// Last accepted orders that raised and lowered the number.
    std::optional<instant> raised_at;
    std::optional<instant> lowered_at;
    /// End of the pause after the platform had no engines available.
    instant unavailable_until{};
    /// Such replies since the last accepted order.
    int refusals = 0;

    auto operator<=>(capacity_group const &) const = default;
};

/// Everything that `plan_capacity` decides from, for one service.
struct capacity_view
{
    instant now{};
    std::string service;
    capacity_limits limits;
    /// Concurrent requests of one engine; 0 when not configured.
    int slots = 0;
    role_speeds speeds;
    /// None while the load is not known.
    std::optional<service_load> load;
    /// Total before the first order; 0 when it is not known.
    int configured_total = 0;
    /// The load has been known under the present authority.
    bool load_was_known = false;
    /// Total that is kept while the load is unknown.
    int held_total = 0;
    /// Result of the previous plan; 0 for none.
    int needed_before = 0;
    /// Two groups for each data centre, in ascending order.
    std::vector<capacity_group> groups;

    auto operator<=>(capacity_view const &) const = default;
};

} // namespace agateledge

#endif
