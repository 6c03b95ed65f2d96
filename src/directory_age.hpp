#ifndef AGATELEDGE_DIRECTORY_AGE_HPP
#define AGATELEDGE_DIRECTORY_AGE_HPP

#include "time.hpp"

#include <optional>

namespace agateledge
{

struct world;

/// @return time as of which this daemon knows the directory of instances: when
///         the last answered read was sent, by this daemon or by the one whose
///         report it used; nothing before the first
std::optional<instant> directory_known_at(world const &w);

/// @return time before which a call that is placed by the directory as it is
///         known must be sent, so that it reaches no instance that has left;
///         nothing while that is unknown: before the first read, and once the
///         directory has become too old while the store does not answer
std::optional<instant> directory_valid_until(world const &w);

/// @return true when calls go out by a directory that is older than the drain
///         bound allows, as the store does not answer
bool is_directory_overdue(world const &w);

/// @return true when the directory is too old to place requests by, and the
///         answer to a read of it is due soon
bool awaits_directory(world const &w);

} // namespace agateledge

#endif
