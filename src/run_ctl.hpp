#ifndef AGATELEDGE_RUN_CTL_HPP
#define AGATELEDGE_RUN_CTL_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// Runs `agateledge ctl`: sends an operator's statement to a daemon and prints
/// the reply as JSON. The statement comes from the command line, a file, or
/// standard input.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 when the daemon executed the statement, 1 when it
///         refused it or did not answer, 2 for an invalid command line, a file
///         that cannot be read, or a missing token
int run_ctl(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
