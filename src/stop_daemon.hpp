#ifndef AGATELEDGE_STOP_DAEMON_HPP
#define AGATELEDGE_STOP_DAEMON_HPP

namespace agateledge
{

struct world;

/// Carries out a shutdown. From `inbox::shutdown` on new requests are refused
/// as not run and open ones go on. After the drain time-out the callers of the
/// streams that are left are told to resume at another daemon, by a refusal
/// with `daemon_draining` that follows the acceptance; the stream is left
/// running at its engine for them. Calls that were not sent are refused as not
/// run, and calls that were sent are awaited. `outbox::stop_ready` is set once
/// nothing is open and every outcome is stored, or after a second time-out
/// when the table service does not take the outcomes.
void stop_daemon(world &w);

} // namespace agateledge

#endif
