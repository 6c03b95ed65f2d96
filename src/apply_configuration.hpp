#ifndef AGATELEDGE_APPLY_CONFIGURATION_HPP
#define AGATELEDGE_APPLY_CONFIGURATION_HPP

#include "time.hpp"

namespace agateledge
{

struct configuration;
struct world;

/// Time without confirmation after which the revision in force counts as stale.
inline constexpr duration configuration_stale_after = seconds(10);

/// Puts a configuration in force if its revision is higher than the current
/// one. The revision in force never goes back.
///
/// @return true when the configuration is now in force
bool put_in_force(world &w, configuration const &config);

/// Serves by the configuration of the settings, as revision 0, until the table
/// service or a peer has told the current one. Until then nothing that needs a
/// confirmed configuration is done.
void use_initial_configuration(world &w, configuration initial);

/// Notes that the revision in force was the current one at `when`.
void confirm_revision(world &w, instant when);

/// Keeps the configuration current: the two daemons of the data centre that
/// rank highest poll the table service, the others hear of revisions by
/// heartbeats and fetch from a peer that is ahead. A daemon without any recent
/// confirmation polls as well. When the table service has no configuration, the
/// one from the settings becomes its first revision.
void apply_configuration(world &w);

/// @return true when the daemon has just started and has not yet had the time
///         to confirm its configuration
bool configuration_pending(world const &w);

/// @return true when the revision in force was not confirmed for
///         `configuration_stale_after`, so that orders and non-idempotent calls
///         are refused
bool configuration_stale(world const &w);

} // namespace agateledge

#endif
