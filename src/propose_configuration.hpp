#ifndef AGATELEDGE_PROPOSE_CONFIGURATION_HPP
#define AGATELEDGE_PROPOSE_CONFIGURATION_HPP

#include "configuration.hpp"
#include "ids.hpp"

namespace agateledge
{

struct world;

/// Proposes the next revision of the configuration. Exactly one operator reply
/// follows:
/// - `ok` with the new revision,
/// - `revision_conflict` with the current revision when another change was
///   committed first,
/// - `store_unavailable` when the table service did not answer and nothing was
///   written,
/// - `configuration_stale` when the revision in force is not confirmed,
/// - `outcome_unknown` when the write was sent and the table service does not
///   answer whether it took effect.
///
/// @param w the daemon
/// @param next complete configuration with the author, the time and the
///        summary; its `revision` is that of the configuration it is based on
/// @param call operator's call that waits for the reply
/// @return false when the proposal was refused at once; its reply is then
///         already in the outbox
bool propose_configuration(world &w, configuration next,
                           operator_call_number call);

/// Advances pending proposals: handles the replies of the table service that
/// arrived in this tick and operations that timed out.
void advance_proposals(world &w);

} // namespace agateledge

#endif
