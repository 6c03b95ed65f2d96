#ifndef AGATELEDGE_ORDER_RECORD_HPP
#define AGATELEDGE_ORDER_RECORD_HPP

#include "engine_order.hpp"

#include "absl/status/statusor.h"

#include <compare>
#include <string>
#include <string_view>

namespace agateledge
{

/// Recorded state of an order.
enum class order_record_state
{
    /// The order may still take effect.
    open,
    /// The engine reported that the order took effect.
    done,
    /// The engine restarted or was changed by other means before the order took
    /// effect.
    lost,
    /// The engine left the configuration before the order took effect.
    abandoned,
};

/// Content of the row `order/<engine>`.
struct order_record
{
    engine_order order;
    order_record_state state = order_record_state::open;
    /// Daemon that wrote the row.
    std::string holder;
    /// Identifies the write, so that the writer recognises it when it reads the
    /// row.
    std::string attempt;
    /// Number of orders recorded for the same requested change, including this
    /// one.
    int tries = 1;

    auto operator<=>(order_record const &) const = default;
};

/// @return the name under which `state` is stored
std::string_view name_of(order_record_state state);

/// @return the JSON document of the row
std::string order_record_to_text(order_record const &record);

/// @return the record of a JSON document, or `invalid_request` when the
///         document is malformed
absl::StatusOr<order_record> order_record_from_text(std::string const &text);

} // namespace agateledge

#endif
