#ifndef AGATELEDGE_REPORT_USAGE_HPP
#define AGATELEDGE_REPORT_USAGE_HPP

namespace agateledge
{

struct world;

/// Reports the usage of the client accounts to the platform while this daemon
/// holds `duty::report_usage`. The content of a window's report is written to
/// the store, in one transaction with a renewal of the lease, before it is
/// sent; a successor sends what is written.
///
/// @param w the daemon
void report_usage(world &w);

} // namespace agateledge

#endif
