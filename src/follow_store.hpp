#ifndef AGATELEDGE_FOLLOW_STORE_HPP
#define AGATELEDGE_FOLLOW_STORE_HPP

namespace agateledge
{

struct world;

/// Decides when which table of the platform's store is read: whole at first and
/// after a lost history, then by its changes. Failed reads are repeated with
/// backoff and jitter. Also keeps this daemon's own row up to date.
///
/// @param w the daemon
void follow_store(world &w);

} // namespace agateledge

#endif
