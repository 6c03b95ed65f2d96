#ifndef AGATELEDGE_ORDER_RECORD_HPP
#define AGATELEDGE_ORDER_RECORD_HPP

#include "engine_order.hpp"

#include "absl/status/statusor.h"

#include <compare>
#include <string>
#include <string_view>

namespace agateledge
{

/// What is recorded of an order's end.
enum class order_state_name
{
    /// The order may still take effect.
    open,
    /// The engine reported that the order took effect.
    done,
    /// The engine restarted or was changed otherwise before the order took
    /// effect.
    lost,
    /// The engine left the configuration before the order took effect.
    abandoned,
};

/// Document of the row `order/<engine>`.
struct order_record
{
    engine_order order;
    order_state_name state = order_state_name::open;
    /// Daemon that wrote the row.
    std::string holder;
    /// Identifies the write, so that its writer recognises it when reading.
    std::string attempt;
    /// Orders recorded for the same wish, this one included.
    int tries = 1;

    auto operator<=>(order_record const &) const = default;
};

/// @return the stable name of `state`, as recorded
std::string_view name_of(order_state_name state);

/// @return the JSON document of the row
std::string order_record_to_text(order_record const &record);

/// @return the record of a JSON document, or `invalid_request` when the
///         document is damaged
absl::StatusOr<order_record> order_record_from_text(std::string const &text);

} // namespace agateledge

#endif
