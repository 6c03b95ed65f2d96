#ifndef AGATELEDGE_LOG_RELAY_HPP
#define AGATELEDGE_LOG_RELAY_HPP

#include "outbox.hpp"

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

struct relay_state_entry;
struct world;

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Logs a decision that changes what the daemon believes.
///
/// @param event stable name of the event; docs/OPERATIONS.md lists them
void log_relay(world &w, log_level level, std::string event, log_fields fields);

/// Logs a decision on one request, with its id, route, age and the versions
/// that it was based on.
void log_request(world &w, log_level level, relay_state_entry const &request,
                 std::string event, log_fields fields);

/// @return `value` in milliseconds with one decimal, for a log field
std::string milliseconds_text(duration value);

} // namespace agateledge

#endif
