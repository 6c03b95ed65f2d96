#ifndef AGATELEDGE_HOLD_DUTY_LEASES_HPP
#define AGATELEDGE_HOLD_DUTY_LEASES_HPP

#include "duty_authority.hpp"
#include "time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

struct world;

/// Time for which a lease of a duty is valid after its last renewal. Bounds the
/// time without a holder: a successor acts after this time plus the time in
/// which holders must not alternate, which together must leave a part of
/// `usage_due`.
inline constexpr duration duty_time_to_live = milliseconds(2500);

/// Competes for the leases of the duties, renews those that are held, announces
/// them to the other daemons, and releases them when the daemon stops.
///
/// Authority is counted from the time at which a renewal was sent. A daemon
/// takes a lease over once its row has had the same version for the time to
/// live, and acts only after the time in which the platform must not see
/// holders alternate. Fencing tokens begin at a number derived from the era of
/// the store; after a change of the era, a holder takes its own lease again.
///
/// @param w the daemon
void hold_duty_leases(world &w);

/// @return name of the duty in logs, metrics and rows
std::string_view name_of(duty item);

/// @return names of the live daemons, including this one, in the order in which
///         they take the duty over; the first ones of two duties differ
std::vector<std::string> duty_ranking(world const &w, duty item);

} // namespace agateledge

#endif
