#ifndef AGATELEDGE_WRITE_LOG_HPP
#define AGATELEDGE_WRITE_LOG_HPP

#include "outbox.hpp"

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

struct world;

/// Appends one line to the log of this tick.
///
/// @param w the daemon
/// @param level severity
/// @param event short stable name of the event
/// @param fields values of the event
void write_log(world &w, log_level level, std::string event,
               std::vector<std::pair<std::string, std::string>> fields = {});

} // namespace agateledge

#endif
