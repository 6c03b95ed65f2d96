#ifndef AGATELEDGE_TABLE_PROTOCOL_HPP
#define AGATELEDGE_TABLE_PROTOCOL_HPP

#include "table_call.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace agateledge
{

/// @return JSON body of the request for `call`: POST /v1/transact for a write,
///         POST /v1/read otherwise
std::string table_call_to_text(table_call const &call);

/// Parses a reply of the table service.
///
/// @param call the call that the reply belongs to
/// @param text JSON document
/// @return the reply, with the outcome `committed` or `conflict`; otherwise
///         `invalid_request`
absl::StatusOr<table_reply> table_reply_from_text(table_call const &call,
                                                  std::string_view text);

} // namespace agateledge

#endif
