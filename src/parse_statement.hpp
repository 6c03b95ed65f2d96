#ifndef AGATELEDGE_PARSE_STATEMENT_HPP
#define AGATELEDGE_PARSE_STATEMENT_HPP

#include "statement.hpp"

#include "absl/status/statusor.h"

#include <cstddef>
#include <string_view>

namespace agateledge
{

/// Longest text of one statement, in bytes, and most changes of a transaction.
constexpr std::size_t max_statement_bytes = 64 * 1024;
constexpr std::size_t max_transaction_changes = 500;

/// Parses one statement of the operator language.
///
/// @param text statement; `--` begins a comment that ends with the line
/// @return the statement, or `invalid_statement` with line and column of the
///         first fault, what was expected there and what was found
absl::StatusOr<statement> parse_statement(std::string_view text);

} // namespace agateledge

#endif
