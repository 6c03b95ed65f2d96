#ifndef AGATELEDGE_RUN_COMMAND_LINE_HPP
#define AGATELEDGE_RUN_COMMAND_LINE_HPP

namespace agateledge
{

/// Runs the subcommand given on the command line.
///
/// @return exit code of the process: 0 for success, 1 for a failed command,
///         2 for an invalid command line or invalid settings
int run_command_line(int argc, char **argv);

} // namespace agateledge

#endif
