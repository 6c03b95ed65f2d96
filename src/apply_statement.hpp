#ifndef AGATELEDGE_APPLY_STATEMENT_HPP
#define AGATELEDGE_APPLY_STATEMENT_HPP

#include "configuration.hpp"
#include "statement.hpp"

#include "absl/status/statusor.h"

#include <vector>

namespace agateledge
{

/// Applies all changes of a transaction or none.
///
/// @param base configuration that the changes start from
/// @param changes changes in order; each sees the effect of those before it
/// @return the changed configuration with the revision of `base`, or
///         `invalid_change` with the change that cannot be made and why
absl::StatusOr<configuration>
apply_statement(configuration const &base,
                std::vector<configuration_change> const &changes);

} // namespace agateledge

#endif
