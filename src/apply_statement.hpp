#ifndef AGATELEDGE_APPLY_STATEMENT_HPP
#define AGATELEDGE_APPLY_STATEMENT_HPP

#include "configuration.hpp"
#include "statement.hpp"

#include "absl/status/statusor.h"

#include <vector>

namespace agateledge
{

/// Applies the changes of a transaction; either all of them or none.
///
/// @param base configuration that the changes are applied to
/// @param changes changes in order; each one sees the result of the previous
/// @return the changed configuration with the revision of `base`, or
///         `invalid_change` with the first change that fails and the reason
absl::StatusOr<configuration>
apply_statement(configuration const &base,
                std::vector<configuration_change> const &changes);

} // namespace agateledge

#endif
