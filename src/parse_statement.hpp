#ifndef AGATELEDGE_PARSE_STATEMENT_HPP
#define AGATELEDGE_PARSE_STATEMENT_HPP

#include "statement.hpp"

#include "absl/status/statusor.h"

#include <cstddef>
#include <string_view>

namespace agateledge
{

/// Longest text of a statement, and the most changes in a transaction.
constexpr std::size_t max_statement_bytes = 64 * 1024;
constexpr std::size_t max_transaction_changes = 500;

/// Parses one statement of the operator language.
///
/// @param text statement in UTF-8; `--` starts a comment to the end of the line
/// @return the statement, or `invalid_statement` with line and column of the
///         first error, what was expected there and what was found
absl::StatusOr<statement> parse_statement(std::string_view text);

} // namespace agateledge

#endif
