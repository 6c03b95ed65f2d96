#ifndef AGATELEDGE_JSON_TEXT_HPP
#define AGATELEDGE_JSON_TEXT_HPP

#include "absl/status/statusor.h"

#include <json/json.h>

#include <string>
#include <string_view>

namespace agateledge
{

/// @return `value` as JSON on one line
std::string json_to_text(Json::Value const &value);

/// Parses one JSON document.
///
/// @param text complete document
/// @return the value, or `invalid_request` with the position of the syntax
/// error
absl::StatusOr<Json::Value> json_from_text(std::string_view text);

} // namespace agateledge

#endif
