#ifndef AGATELEDGE_RUN_DEV_HPP
#define AGATELEDGE_RUN_DEV_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// Runs `agateledge dev`: one daemon per data centre, the stand-ins and a short
/// load, all in one process on one main loop.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 when every request was answered or reported as not run
///         and no booking was made twice
int run_dev(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
