#ifndef AGATELEDGE_LOG_PROXIED_REQUEST_HPP
#define AGATELEDGE_LOG_PROXIED_REQUEST_HPP

#include "outbox.hpp"

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

struct proxy_request_state;
struct world;

using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Writes a log entry on a change of the daemon's state.
///
/// @param event stable name of the event; docs/OPERATIONS.md lists them
void log_proxied_request(world &w, log_level level, std::string event,
                         log_fields fields);

/// Buffers a log entry on one request, with its id, route and age. The entries
/// of a request are written together by `log_request_end`.
void buffer_request_log(world &w, proxy_request_state &request,
                        std::string event, log_fields fields);

/// Logs the end of a request. Its buffered entries are written first or not at
/// all, so that the log has either all lines of a request or only the last.
///
/// @param with_buffered_log write the buffered entries, for a request that
///        failed or was late
void log_request_end(world &w, log_level level, proxy_request_state &request,
                     std::string event, log_fields fields,
                     bool with_buffered_log);

/// @return `value` in milliseconds with one decimal, for a log field
std::string milliseconds_text(duration value);

} // namespace agateledge

#endif
