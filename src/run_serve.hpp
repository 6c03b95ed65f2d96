#ifndef AGATELEDGE_RUN_SERVE_HPP
#define AGATELEDGE_RUN_SERVE_HPP

#include <string>
#include <vector>

namespace agateledge
{

struct settings;

/// Runs one daemon until SIGTERM or SIGINT, then shuts it down gracefully.
/// SIGHUP reloads keys and certificates.
///
/// @param config settings of the daemon
/// @return exit code: 0 after a graceful shutdown, 2 for settings that cannot
///         be used
int run_serve(settings const &config);

/// Runs `agateledge serve`.
///
/// @param arguments command line after the subcommand
/// @return exit code
int run_serve(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
