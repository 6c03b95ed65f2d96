#ifndef AGATELEDGE_UPDATE_DIRECTORY_HPP
#define AGATELEDGE_UPDATE_DIRECTORY_HPP

#include <memory>
#include <string>

namespace agateledge
{

struct instance_row;
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

/// Applies the row of an instance that another daemon reported. A row without
/// an instance says that the instance is gone as of the row's version.
void apply_reported_row(world &w, instance_row const &row);

} // namespace agateledge

#endif
