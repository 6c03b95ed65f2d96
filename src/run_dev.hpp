#ifndef AGATELEDGE_RUN_DEV_HPP
#define AGATELEDGE_RUN_DEV_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// `agateledge dev`: runs one daemon for each data centre, the stand-ins and a
/// short load in one process and one loop.
///
/// @param arguments command line after the subcommand
/// @return exit code: 0 when every request was answered or honestly refused
///         and every invariant held
int run_dev(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
