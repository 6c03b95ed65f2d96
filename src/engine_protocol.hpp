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

/// Reads the data of one server-sent event of an engine.
///
/// @param attempt attempt that the event belongs to
/// @param text JSON document
/// @return the event, or `invalid_request`
absl::StatusOr<engine_event> engine_event_from_text(attempt_number attempt,
                                                    std::string_view text);

/// Reads the reply of GET /v1/load.
///
/// @param engine engine that was asked
/// @param text JSON document
/// @return the report, or `invalid_request`
absl::StatusOr<load_report> load_report_from_text(std::string const &engine,
                                                  std::string_view text);

/// Reads the reply of GET /v1/cache_events.
///
/// @param engine engine that was asked
/// @param text JSON document
/// @return the events, or `invalid_request`
absl::StatusOr<std::vector<cache_event>>
cache_events_from_text(std::string const &engine, std::string_view text);

/// @return JSON body of POST /v1/orders
std::string engine_order_to_text(engine_order const &order);

/// @return outcome that the reply of POST /v1/orders names, or `unknown`
order_outcome order_outcome_from_text(std::string_view text);

} // namespace agateledge

#endif
