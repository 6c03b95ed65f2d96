#ifndef AGATELEDGE_ACCOUNT_METRICS_TEXT_HPP
#define AGATELEDGE_ACCOUNT_METRICS_TEXT_HPP

#include <iosfwd>

namespace agateledge
{

struct world;

/// Writes the metrics of the client accounts in the Prometheus text format:
/// those of the accounts with the most requests by name, and the sum of the
/// others. Writes nothing without accounts.
///
/// @param out the text is appended to it
/// @param w the daemon
/// @param prefix prefix of the names
void write_account_metrics(std::ostream &out, world const &w,
                           char const *prefix);

} // namespace agateledge

#endif
