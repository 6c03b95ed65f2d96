#ifndef AGATELEDGE_EXCHANGE_TOPOLOGY_HPP
#define AGATELEDGE_EXCHANGE_TOPOLOGY_HPP

#include <string>
#include <vector>

namespace agateledge
{

struct proxy_state;
struct world;

// Which daemons send reports to which others. In a small fleet each daemon
// sends to all others; in a larger one, the daemons of a data centre send to a
// hub, and the hubs to each other and back to their data centres.

/// @return true when each daemon sends directly to all others
bool is_mesh(proxy_state const &proxy);
bool is_mesh(world const &w);

/// @return name of the daemon that is the hub of a data centre; empty when no
///         daemon with an address is known there
std::string hub_of(world const &w, std::string const &data_centre);

/// @return names of the hubs of the other data centres
std::vector<std::string> remote_hubs(world const &w);

/// @return names of the other daemons
std::vector<std::string> all_peers(world const &w);

/// @return names of the other daemons in this one's data centre
std::vector<std::string> local_peers(world const &w);

/// @return addresses at which the named daemons receive reports, without those
///         of daemons that are not known or announce none
std::vector<std::string> addresses_of(world const &w,
                                      std::vector<std::string> const &names);

} // namespace agateledge

#endif
