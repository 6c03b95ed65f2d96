#ifndef AGATELEDGE_STOP_DAEMON_HPP
#define AGATELEDGE_STOP_DAEMON_HPP

namespace agateledge
{

struct world;

/// Carries out a shutdown. After `inbox::shutdown` new requests are refused as
/// not run, while open ones continue. After the drain time-out the callers of
/// the remaining streams are asked to resume at another daemon by a refusal
/// with `daemon_draining` that follows the acceptance; the stream keeps running
/// at its engine for them. Calls that were not sent are refused as not run, and
/// the answers of calls that were sent are awaited. `outbox::shutdown_complete`
/// is set when no request is open, no lease is held and every outcome is
/// stored. After twice the drain time-out, outcomes that are not stored are not
/// awaited any longer.
void stop_daemon(world &w);

} // namespace agateledge

#endif
