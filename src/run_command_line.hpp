#ifndef AGATELEDGE_RUN_COMMAND_LINE_HPP
#define AGATELEDGE_RUN_COMMAND_LINE_HPP

namespace agateledge
{

/// Runs the subcommand that the command line names.
///
/// @return exit code of the process: 0 for success, 1 for a failed command,
///         2 for a wrong command line or wrong settings
int run_command_line(int argc, char **argv);

} // namespace agateledge

#endif
