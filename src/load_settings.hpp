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
/// @return the settings, or `settings_invalid` with all faults of the file, one
///         a line: file, line, key and what is allowed
absl::StatusOr<settings> load_settings(std::string const &file);

/// As `load_settings`, from a text.
///
/// @param file name that the messages show
absl::StatusOr<settings> parse_settings(std::string const &text,
                                        std::string const &file);

} // namespace agateledge

#endif
