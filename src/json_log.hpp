#ifndef AGATELEDGE_JSON_LOG_HPP
#define AGATELEDGE_JSON_LOG_HPP

#include "outbox.hpp"

#include "absl/status/status.h"

#include <string>
#include <string_view>

namespace agateledge
{

/// Starts the log, which writes one JSON object per line. Writing never blocks
/// on the reader; see `bounded_appender`.
///
/// @param level "debug", "info", "warning" or "error"
/// @param descriptor descriptor that lines are written to; standard output by
///        default
/// @return `settings_invalid` for another level
absl::Status start_log(std::string_view level, int descriptor = 1);

/// Changes the level of the running log.
///
/// @param level as for `start_log`
/// @return `settings_invalid` for another level
absl::Status set_log_level(std::string_view level);

/// Writes one line when its level is enabled.
///
/// @param daemon name of the daemon that logs the line
void write_log_line(std::string const &daemon, log_entry const &entry);

/// @return `entry` as one JSON object with the fields daemon, level, event and
///         those of the entry; the time is added when the line is written
std::string log_entry_to_json(std::string const &daemon,
                              log_entry const &entry);

} // namespace agateledge

#endif
