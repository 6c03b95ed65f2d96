#ifndef AGATELEDGE_PLAN_CAPACITY_HPP
#define AGATELEDGE_PLAN_CAPACITY_HPP

#include "capacity_view.hpp"
#include "platform_call.hpp"

#include <compare>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Why the number of engines of a group changes.
enum class order_reason
{
    /// The load needs more engines than serve or are coming.
    load,
    /// The rest could not carry the load after a reclaim, or the loss, of one
    /// data centre.
    reserve,
    /// The number is below the configured minimum.
    minimum,
    /// Reclaimable engines cost less than the ordinary ones that serve.
    cheaper,
    /// The load does not need these engines.
    surplus,
    /// Engines are gone while the load is unknown.
    lost,
    /// No engine serves in one of the roles.
    role,
};

/// @return name of the reason in the log
std::string_view name_of(order_reason reason);

/// Order to send, with its reasons.
struct planned_order
{
    capacity_order order;
    /// Number of engines that serve or are coming.
    int before = 0;
    std::vector<order_reason> reasons;

    auto operator<=>(planned_order const &) const = default;
};

/// Result of one plan for a service.
struct capacity_plan
{
    /// Engines that the load needs, with a burst; 0 while it is unknown.
    int needed = 0;
    std::vector<planned_order> orders;

    auto operator<=>(capacity_plan const &) const = default;
};

/// @return engines of the group that serve or are coming; after an order to
///         lower the number, those that stay
int expected_engines(capacity_view const &view, capacity_group const &group);

/// Decides which numbers of engines to order now. Without a known load, the
/// total is kept. With one, it is raised at once as far as a burst, the reclaim
/// of all reclaimable engines of one data centre, or the loss of one require,
/// and lowered in steps, one order at a time, as far as the engines that serve
/// meet these requirements without those removed.
///
/// @param view configuration, directory, load and earlier orders
/// @return the orders, and the number of engines that the load needs
capacity_plan plan_capacity(capacity_view const &view);

} // namespace agateledge

#endif
