#ifndef AGATELEDGE_RENEW_LEASES_HPP
#define AGATELEDGE_RENEW_LEASES_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

struct lease_state;
struct world;

/// Time for which a lease is valid after its last renewal.
inline constexpr duration lease_time_to_live = seconds(3);

/// Difference in clock rates and delays that the lease tolerates.
inline constexpr duration lease_margin = milliseconds(500);

/// Competes for the lease of the daemon's own data centre, renews it while it
/// is held, and releases it when the daemon drains. Authority counts from
/// before a renewal was sent; a renewal with an unknown outcome gives none
/// until a read shows it. A lease is taken over only after the same version of
/// its row was seen for the time to live plus the margin.
void renew_leases(world &w);

/// @return true when this daemon may issue orders in the data centre now
bool holds_authority(world const &w, std::string const &data_centre);

/// @return true when `now` is before the end of the lease's authority; unlike
///         `holds_authority` no fault switch affects it
bool authority_is_valid(lease_state const &lease, instant now);

/// @return true when no lease is held any more, so that a stopping daemon may
///         exit without leaving its successor to wait for the expiry
bool leases_released(world const &w);

} // namespace agateledge

#endif
