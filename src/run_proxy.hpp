#ifndef AGATELEDGE_RUN_PROXY_HPP
#define AGATELEDGE_RUN_PROXY_HPP

#include <string>
#include <vector>

namespace agateledge
{

/// Runs one proxy daemon behind the platform's load balancer until SIGTERM.
/// SIGHUP reloads the settings file.
///
/// @param arguments command line after the subcommand
/// @return exit code of the process
int run_proxy(std::vector<std::string> const &arguments);

} // namespace agateledge

#endif
