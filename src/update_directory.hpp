#ifndef AGATELEDGE_UPDATE_DIRECTORY_HPP
#define AGATELEDGE_UPDATE_DIRECTORY_HPP

namespace agateledge
{

struct world;

/// Applies the rows that were read from the platform's store: the
/// configuration, which is never replaced by an older version, the instances
/// and the daemons. An instance whose row disappeared around an outage of the
/// store is kept for `missing_row_grace`, because its row may have expired only
/// because it could not be renewed.
///
/// @param w the daemon
void update_directory(world &w);

} // namespace agateledge

#endif
