#ifndef AGATELEDGE_LEASE_ROW_HPP
#define AGATELEDGE_LEASE_ROW_HPP

#include "ids.hpp"
#include "time.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Content of the rows `lease/<data centre>` and `fence/<data centre>`.
struct lease_row
{
    /// Daemon that holds the lease; empty once it was released.
    std::string holder;
    incarnation_number incarnation;
    fencing_number fencing;
    duration time_to_live{};
    /// Identifies the write, so that the writer recognises it when it reads the
    /// row.
    std::string attempt;

    auto operator<=>(lease_row const &) const = default;
};

/// @return the JSON document of the row
std::string lease_row_to_text(lease_row const &row);

/// @return the row of a JSON document, or a released row without a holder when
///         the document is absent or malformed
lease_row lease_row_from_text(std::string const &text);

} // namespace agateledge

#endif
