#ifndef AGATELEDGE_APPLY_CONFIGURATION_HPP
#define AGATELEDGE_APPLY_CONFIGURATION_HPP

#include "time.hpp"

namespace agateledge
{

struct configuration;
struct world;

/// Time after its last confirmation at which the revision in force is stale.
inline constexpr duration configuration_stale_after = seconds(10);

/// Puts a configuration in force if its revision is higher than that of the
/// configuration in force, so that a late or repeated document never reverts
/// it.
///
/// @return true when `config` has been activated
bool activate_configuration(world &w, configuration const &config);

/// Puts the configuration from the daemon's settings in force as revision 0
/// until the current one arrives from the table service or a peer. Orders and
/// non-idempotent calls, which need a confirmed revision, are refused until
/// then. The table service gets this configuration as its first revision if it
/// has none.
void apply_initial_configuration(world &w, configuration initial);

/// Records that the revision in force was the current one at `when`. An earlier
/// time than the recorded one has no effect.
void confirm_revision(world &w, instant when);

/// Keeps the configuration current. The two daemons of the data centre with the
/// highest rendezvous rank poll the table service. The others learn of a new
/// revision from heartbeats; they read it from the table service, or from the
/// peer that announced it while the table service does not answer. A daemon
/// without a recent confirmation also polls. If the table service has no
/// configuration, the one from the settings is written as its first revision.
void apply_configuration(world &w);

/// @return true when no revision has been confirmed since the start, at most
///         `configuration_stale_after` ago
bool configuration_pending(world const &w);

/// @return true when the revision in force has not been confirmed within
///         `configuration_stale_after`; orders and non-idempotent calls are
///         then refused
bool configuration_stale(world const &w);

} // namespace agateledge

#endif
