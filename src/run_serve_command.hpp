#ifndef AGATELEDGE_RUN_SERVE_COMMAND_HPP
#define AGATELEDGE_RUN_SERVE_COMMAND_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// `agateledge serve`: runs one daemon until SIGTERM.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 after a graceful shutdown, 2 for wrong settings
int run_serve_command(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
