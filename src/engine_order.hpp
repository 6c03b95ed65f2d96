#ifndef AGATELEDGE_ENGINE_ORDER_HPP
#define AGATELEDGE_ENGINE_ORDER_HPP

#include "engine_role.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Kind of change that an order asks for.
enum class order_kind
{
    change_role,
    load_model,
    load_adapter,
};

/// Order to an engine, recorded in the table service before it is sent. Sending
/// an order is idempotent.
struct engine_order
{
    /// Unique over all daemons: "<daemon>:<incarnation>:<sequence>".
    std::string id;
    std::string engine;
    order_kind kind = order_kind::change_role;
    /// Role after a `change_role`.
    engine_role role = engine_role::mixed;
    /// Model and version, or adapter and version, to load.
    std::string name;
    std::string version;
    fencing_number fencing;
    /// Generation of the engine that the order applies to; an engine that
    /// checks it refuses an order for another generation.
    std::uint64_t expected_generation = 0;
    /// Time after sending from which the engine must refuse the order.
    duration time_to_live = seconds(5);

    auto operator<=>(engine_order const &) const = default;
};

} // namespace agateledge

#endif
