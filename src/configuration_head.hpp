#ifndef AGATELEDGE_CONFIGURATION_HEAD_HPP
#define AGATELEDGE_CONFIGURATION_HEAD_HPP

#include "ids.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Document of the row `config/current`: which revision is current. The
/// revision's document is in `config/revision/<n>`, which is written in the
/// same transaction, so that a poll stays small.
struct configuration_head
{
    revision_number revision;
    std::string author;
    /// Identifies the write, so that its writer recognises it when reading.
    std::string attempt;

    auto operator<=>(configuration_head const &) const = default;
};

/// Key of the row that names the current revision.
inline constexpr char const *configuration_head_key = "config/current";

/// @return the key of the row that holds the document of a revision
std::string revision_key(revision_number revision);

/// @return the JSON document of the row
std::string configuration_head_to_text(configuration_head const &head);

/// @return the head of a JSON document; revision 0 when the document is absent
///         or damaged
configuration_head configuration_head_from_text(std::string const &text);

} // namespace agateledge

#endif
