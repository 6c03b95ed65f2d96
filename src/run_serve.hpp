#ifndef AGATELEDGE_RUN_SERVE_HPP
#define AGATELEDGE_RUN_SERVE_HPP

namespace agateledge
{

struct settings;

/// Runs one daemon until SIGTERM or SIGINT and its graceful shutdown. SIGHUP
/// reads keys and certificates again.
///
/// @param config settings of the daemon
/// @return exit code: 0 after a graceful shutdown, 2 for settings that cannot
///         be used
int run_serve(settings const &config);

} // namespace agateledge

#endif
