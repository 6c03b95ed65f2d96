#ifndef AGATELEDGE_ENGINE_PROTOCOL_HPP
#define AGATELEDGE_ENGINE_PROTOCOL_HPP

#include "inbox.hpp"
#include "outbox.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// @return JSON body of POST /v1/generate; 64-bit numbers are decimal strings,
///         because JSON readers may round them
std::string engine_call_to_text(engine_call const &call);

/// Parses the data of one server-sent event from an engine.
///
/// @param attempt attempt that the event belongs to
/// @param text JSON document
/// @return the event, or `invalid_request`
absl::StatusOr<engine_event> engine_event_from_text(attempt_number attempt,
                                                    std::string_view text);

/// Parses the reply to GET /v1/load.
///
/// @param engine name of the engine that replied
/// @param text JSON document
/// @return the report, or `invalid_request`
absl::StatusOr<load_report> load_report_from_text(std::string const &engine,
                                                  std::string_view text);

/// Parses the reply to GET /v1/cache_events.
///
/// @param engine name of the engine that replied
/// @param text JSON document
/// @return the events, or `invalid_request`
absl::StatusOr<std::vector<cache_event>>
cache_events_from_text(std::string const &engine, std::string_view text);

/// @return JSON body of POST /v1/orders
std::string engine_order_to_text(engine_order const &order);

/// @return outcome in the reply to POST /v1/orders; `unknown` when the reply is
///         malformed
order_outcome order_outcome_from_text(std::string_view text);

} // namespace agateledge

#endif
