#ifndef AGATELEDGE_RUN_CHECK_HPP
#define AGATELEDGE_RUN_CHECK_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// Runs `agateledge check`: reads a settings file and prints its errors, if
/// any.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 when the file is valid, 2 otherwise
int run_check(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
