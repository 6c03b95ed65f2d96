#ifndef AGATELEDGE_CONFIGURATION_JSON_HPP
#define AGATELEDGE_CONFIGURATION_JSON_HPP

#include "configuration.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace agateledge
{

/// @return `value` as a JSON document: the format of the sections in the table
///         service and of the document that peers exchange
std::string configuration_to_json(configuration const &value);

/// Reads the JSON document of a configuration.
///
/// @param text document as `configuration_to_json` writes it
/// @return the configuration, or `settings_invalid` with the reason, or
///         `invalid_request` when `text` is not JSON
absl::StatusOr<configuration> configuration_from_json(std::string_view text);

} // namespace agateledge

#endif
