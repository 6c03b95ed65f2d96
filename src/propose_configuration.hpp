#ifndef AGATELEDGE_PROPOSE_CONFIGURATION_HPP
#define AGATELEDGE_PROPOSE_CONFIGURATION_HPP

#include "configuration.hpp"
#include "ids.hpp"

namespace agateledge
{

struct world;

/// Proposes the next revision of the configuration. Exactly one operator reply
/// follows: `ok` with the new revision, `revision_conflict` with the current
/// one when another change was first, `store_unavailable` when nothing was
/// written, `configuration_stale`, or `outcome_unknown` when the table service
/// stayed away after the write was sent.
///
/// @param w the daemon
/// @param next whole configuration with the author, the time and the summary;
///        its `revision` is still that of the configuration it was made from
/// @param call operator's call that waits for the reply
/// @return false when the proposal was refused at once; its reply is then
///         already in the outbox
bool propose_configuration(world &w, configuration next,
                           operator_call_number call);

/// Advances proposals by this tick's replies of the table service.
void follow_proposals(world &w);

} // namespace agateledge

#endif
