#ifndef AGATELEDGE_CONFIGURATION_HEAD_HPP
#define AGATELEDGE_CONFIGURATION_HEAD_HPP

#include "ids.hpp"

#include <compare>
#include <string>

namespace agateledge
{

/// Document of the row `config/current`, which names the current revision. The
/// revision's index is in `config/revision/<n>`, its sections in
/// `config/section/<digest>`. All are written in the same transaction. A poll
/// reads only this row, which keeps polling cheap.
struct configuration_head
{
    revision_number revision;
    std::string author;
    /// Identifies the write, so that its writer recognises it when reading;
    /// stored as "attempt".
    std::string write_id;

    auto operator<=>(configuration_head const &) const = default;
};

/// Key of the row that names the current revision.
inline constexpr char const *configuration_head_key = "config/current";

/// @return the key of the row that holds the index of a revision
std::string revision_key(revision_number revision);

/// @return the key of the row that holds a section; the row never changes,
///         since its key is the digest of its content
std::string section_key(std::string const &digest);

/// @return `head` as the JSON document of the row `config/current`
std::string configuration_head_to_text(configuration_head const &head);

/// @return the head parsed from `text`; revision 0 when the document is empty
///         or damaged
configuration_head configuration_head_from_text(std::string const &text);

} // namespace agateledge

#endif
