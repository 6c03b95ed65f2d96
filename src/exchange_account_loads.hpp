#ifndef AGATELEDGE_EXCHANGE_ACCOUNT_LOADS_HPP
#define AGATELEDGE_EXCHANGE_ACCOUNT_LOADS_HPP

namespace agateledge
{

struct world;

/// Reports the recent work of the heaviest client accounts to the other daemons
/// once a second, along the paths of `exchange_loads`, and combines the reports
/// that it receives. A daemon that receives none uses what it has seen itself.
/// Does nothing without accounts in the configuration.
///
/// @param w the daemon
void exchange_account_loads(world &w);

} // namespace agateledge

#endif
