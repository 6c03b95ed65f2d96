#ifndef AGATELEDGE_FOLLOW_DIRECTORY_HPP
#define AGATELEDGE_FOLLOW_DIRECTORY_HPP

namespace agateledge
{

struct world;

/// Puts the rows that were read from the platform's store in force: the
/// configuration, which never goes back to an older version, the instances and
/// the daemons. An instance whose row went missing around an outage of the
/// store is kept for a while, because its row may have lapsed for want of
/// renewal.
///
/// @param w the daemon
void follow_directory(world &w);

} // namespace agateledge

#endif
