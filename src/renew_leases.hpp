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

/// Margin for differences in clock rates and for delays.
inline constexpr duration lease_margin = milliseconds(500);

/// Competes for the lease of the daemon's data centre, renews it while it is
/// held, and releases it when the daemon drains. The validity of a lease is
/// measured from the time at which its renewal was sent; a renewal with an
/// unknown outcome extends it only after a read has shown that it took effect.
/// A lease is taken over only after its row has had the same version for the
/// time to live plus the margin.
void renew_leases(world &w);

/// @return true when this daemon may issue orders in the data centre now
bool holds_authority(world const &w, std::string const &data_centre);

/// @return true when this daemon holds `lease` and `now` is before the end of
///         its authority; unlike `holds_authority`, not affected by fault
///         switches
bool authority_is_valid(lease_state const &lease, instant now);

/// @return true when this daemon holds no lease, so that it may exit without
///         making its successor wait for the lease to expire
bool leases_released(world const &w);

} // namespace agateledge

#endif
