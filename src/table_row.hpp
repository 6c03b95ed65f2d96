#ifndef AGATELEDGE_TABLE_ROW_HPP
#define AGATELEDGE_TABLE_ROW_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Row of the platform's table service.
struct table_row
{
    std::string key;
    /// JSON document; empty for an absent row.
    std::string value;
    /// Incremented by each write of the row; 0 for an absent row.
    std::uint64_t version = 0;

    auto operator<=>(table_row const &) const = default;
};

} // namespace agateledge

#endif
