#ifndef AGATELEDGE_UPDATE_DIRECTORY_HPP
#define AGATELEDGE_UPDATE_DIRECTORY_HPP

#include <memory>
#include <string>
#include <vector>

namespace agateledge
{

struct reported_instance;
struct routing_configuration;
struct world;

/// Applies the rows that were read from the platform's store: the
/// configuration, which is never replaced by an older version, the instances
/// and the daemons. An instance whose row disappeared around an outage of the
/// store is kept for `missing_row_grace`, because its row may have expired only
/// because it could not be renewed.
///
/// @param w the daemon
void update_directory(world &w);

/// Puts a configuration in force unless it is older than the present one.
///
/// @param source where it came from, for the log
/// @return true when it is in force now and was not before
bool put_configuration_in_force(
    world &w, std::shared_ptr<routing_configuration const> const &next,
    std::string const &source);

/// Applies the rows of instances that another daemon reported. One without a
/// definition says that the instance has no row as of its version.
void apply_reported_rows(world &w, std::vector<reported_instance> const &rows);

} // namespace agateledge

#endif
