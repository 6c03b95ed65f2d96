#ifndef AGATELEDGE_CAPACITY_ROW_HPP
#define AGATELEDGE_CAPACITY_ROW_HPP

#include "platform_call.hpp"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Content of the row `capacity`: the last orders of all groups, written before
/// they are sent, so that a successor continues from them.
struct capacity_row
{
    std::vector<capacity_order> orders;
    /// Engines by service that are kept while the load is unknown.
    std::map<std::string, int> held;

    auto operator<=>(capacity_row const &) const = default;
};

/// @return the JSON document of the row
std::string capacity_row_to_text(capacity_row const &row);

/// @return the row of a JSON document; none when it is malformed
std::optional<capacity_row> capacity_row_from_text(std::string const &text);

} // namespace agateledge

#endif
