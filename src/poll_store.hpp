#ifndef AGATELEDGE_POLL_STORE_HPP
#define AGATELEDGE_POLL_STORE_HPP

namespace agateledge
{

struct world;

/// Schedules the reads of the platform's store: each table is read in full at
/// the start and after its change history was lost, and incrementally from then
/// on. Failed reads are retried with back-off and jitter. Also renews this
/// daemon's own row.
///
/// @param w the daemon
void poll_store(world &w);

} // namespace agateledge

#endif
