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

/// Notes a decision on one request, with its id, route and age. The notes of a
/// request are written together by `log_request_end`.
void note_request(world &w, relay_state_entry &request, std::string event,
                  log_fields fields);

/// Logs the end of a request, after its notes when it failed or was late, so
/// that the lines of one request are kept or dropped together.
void log_request_end(world &w, log_level level, relay_state_entry &request,
                     std::string event, log_fields fields, bool with_notes);

/// @return `value` in milliseconds with one decimal, for a log field
std::string milliseconds_text(duration value);

} // namespace agateledge

#endif
