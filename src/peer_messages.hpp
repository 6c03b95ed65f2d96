#ifndef AGATELEDGE_PEER_MESSAGES_HPP
#define AGATELEDGE_PEER_MESSAGES_HPP

#include "heartbeat.hpp"
#include "inbox.hpp"

#include "absl/status/statusor.h"

#include <string>

namespace agateledge
{

/// Names of the JSON-RPC methods between daemons.
inline constexpr char const *heartbeat_method = "heartbeat";
inline constexpr char const *fetch_configuration_method = "fetch_configuration";

/// @return the JSON document of a heartbeat
std::string heartbeat_to_text(heartbeat const &message);

/// @return the heartbeat in a JSON document, or `invalid_request` when it is
///         malformed, has a negative count, or has too many items; ages are
///         clamped to the range from 0 to one day
absl::StatusOr<heartbeat> heartbeat_from_text(std::string const &text);

/// @return the JSON document of the reply to `fetch_configuration`
std::string configuration_reply_to_text(configuration_document const &document);

/// @return the reply in a JSON document, or `invalid_request`
absl::StatusOr<configuration_document>
configuration_reply_from_text(std::string const &text);

/// Parses the platform's list of hosts. Entries that cannot be read are left
/// out.
///
/// @return the report, or `invalid_request` when the document has no list of
///         hosts, or none of them can be read
absl::StatusOr<membership_report>
membership_report_from_text(std::string const &text);

} // namespace agateledge

#endif
