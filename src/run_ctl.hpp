#ifndef AGATELEDGE_RUN_CTL_HPP
#define AGATELEDGE_RUN_CTL_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// `agateledge ctl`: sends operators' statements to a daemon and prints its
/// answers as JSON. The statement comes from the command line, a file, or
/// standard input.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 when the daemon carried the statement out, 1 when it
///         refused it or cannot be reached, 2 for a wrong command line
int run_ctl(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
