#ifndef AGATELEDGE_LOAD_SETTINGS_HPP
#define AGATELEDGE_LOAD_SETTINGS_HPP

#include "absl/status/statusor.h"

#include <string>

namespace agateledge
{

struct settings;

/// Reads and checks a settings file.
///
/// @param file path of the TOML file
/// @return the settings, or `settings_invalid` with all errors of the file, one
///         per line: file, line, key and what is allowed
absl::StatusOr<settings> load_settings(std::string const &file);

/// Parses and checks the text of a settings file, as `load_settings` does.
///
/// @param file file name for the error messages
absl::StatusOr<settings> parse_settings(std::string const &text,
                                        std::string const &file);

} // namespace agateledge

#endif
