#ifndef AGATELEDGE_FOLLOW_STORE_ERA_HPP
#define AGATELEDGE_FOLLOW_STORE_ERA_HPP

#include <cstdint>

namespace agateledge
{

struct instance_definition;
struct row_read_reply;
struct world;

/// Takes over the era that a reply of the store names. When the store has
/// returned from a copy, row versions are reused, so that all tables are read
/// whole again, known row versions are forgotten, and the daemon's own row is
/// written again.
///
/// @param w the daemon
/// @param era era of the reply; 0 for none
void follow_store_era(world &w, std::uint64_t era);

/// @return true when the reply comes from an older era, or belongs to a read
///         that was sent in one, so that its versions mean nothing now
bool is_of_older_era(world &w, row_read_reply const &reply);

/// @return true while rows may be missing because the store lost them when it
///         returned from a copy, and their owners have not written them again
bool in_era_grace(world &w);

/// Corrects the row of an instance that announced that it drains, when the
/// store has returned from a copy made before the announcement.
///
/// @return the definition to use
instance_definition without_reverted_drain(world &w, instance_definition row);

} // namespace agateledge

#endif
