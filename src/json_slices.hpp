#ifndef AGATELEDGE_JSON_SLICES_HPP
#define AGATELEDGE_JSON_SLICES_HPP

#include <optional>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Finds a member of a JSON object without parsing its values, so that a value
/// that the parser refuses, because it is nested too deeply or has a number out
/// of range, does not hide the others.
///
/// @param text JSON object
/// @param name name of the member, as it is spelled in `text`
/// @return text of the member's value, or nothing when `text` is no object or
///         has no such member
std::optional<std::string_view> json_member(std::string_view text,
                                            std::string_view name);

/// Splits a JSON array without parsing its elements; see `json_member`.
///
/// @param text JSON array
/// @return text of each element, or nothing when `text` is no array
std::optional<std::vector<std::string_view>>
json_elements(std::string_view text);

} // namespace agateledge

#endif
