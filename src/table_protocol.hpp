#ifndef AGATELEDGE_TABLE_PROTOCOL_HPP
#define AGATELEDGE_TABLE_PROTOCOL_HPP

#include "table_call.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace agateledge
{

/// @return JSON body of POST /v1/read or POST /v1/transact for `call`
std::string table_call_to_text(table_call const &call);

/// Reads the reply of the table service.
///
/// @param call the call that is answered
/// @param text JSON document
/// @return the reply, committed or conflict, or `invalid_request`
absl::StatusOr<table_reply> table_reply_from_text(table_call const &call,
                                                  std::string_view text);

} // namespace agateledge

#endif
