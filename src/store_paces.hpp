#ifndef AGATELEDGE_STORE_PACES_HPP
#define AGATELEDGE_STORE_PACES_HPP

#include "time.hpp"

namespace agateledge
{

enum class followed_table;
struct relay_state;

/// How often a table of the platform's store is read.
struct store_pace
{
    /// Pause between two reads of the changes.
    duration pause{};
    /// Time for which the store holds a read until there are changes.
    duration hold{};

    auto operator<=>(store_pace const &) const = default;
};

/// Time that a read may take beyond the time that the store holds it: 4 ms at
/// the usual speed, and up to 60 times as long while the store is slow.
constexpr duration store_read_timeout = milliseconds(1500);

/// Time from the store's return until a row that is still missing is gone: rows
/// of living instances are back after 2 s.
constexpr duration instance_lapse_grace = milliseconds(2200);

/// Paces of the reads, from the bounds of the deployment: calls are priced and
/// share the store's rate, so that each table is read as rarely as its bound
/// allows.
///
/// @param relay the daemon's state, with the bounds and the fleet's size
/// @param restored the store has come back within `instance_lapse_grace`
store_pace store_pace_of(relay_state const &relay, followed_table table,
                         bool restored);

/// @return pause between two writes of a daemon's own row; grows with the
///         fleet, so that all daemons together write equally often
duration daemon_row_interval(relay_state const &relay);

/// @return time after which a daemon whose row has not changed is not counted
duration daemon_row_lifetime(relay_state const &relay);

} // namespace agateledge

#endif
