#include "run_command_line.hpp"

#include "command_options.hpp"
#include "run_check.hpp"
#include "run_ctl.hpp"
#include "run_dev.hpp"
#include "run_proxy.hpp"
#include "run_serve.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

namespace
{

struct subcommand
{
    std::string_view name;
    std::string_view description;
    int (*run)(std::vector<std::string> const &arguments);
};

constexpr std::array subcommands{
    subcommand{"serve", "runs one entry daemon", run_serve},
    subcommand{"relay",
               "runs one entry daemon behind the platform's load balancer",
               run_proxy},
    subcommand{"dev", "runs daemons, stand-ins and a load in one process",
               run_dev},
    subcommand{"ctl", "sends an operator's statement to a daemon", run_ctl},
    subcommand{"check", "checks a settings file", run_check},
};

void print_usage(std::ostream &out)
{
    out << "usage: agateledge SUBCOMMAND [options]\n\nsubcommands:\n";
    std::ranges::for_each(subcommands,
                          [&out](subcommand const &command) {
                              out << "  " << command.name << "\t"
                                  << command.description << "\n";
                          });
    out << "\n`agateledge SUBCOMMAND --help` lists its options.\n";
}

} // namespace

int run_command_line(int argc, char **argv)
{
    std::vector<std::string> const arguments(argv + std::min(argc, 2),
                                             argv + argc);
    std::string const name = argc < 2 ? "" : argv[1];
    if (name == "--version")
    {
        std::cout << "agateledge " AGATELEDGE_VERSION "\n";
        return exit_success;
    }
    if (name == "--help")
    {
        print_usage(std::cout);
        return exit_success;
    }
    auto const found = std::ranges::find(subcommands, name, &subcommand::name);
    if (found == subcommands.end())
    {
        std::cerr << "unknown subcommand \"" << name << "\"\n";
        print_usage(std::cerr);
        return exit_usage;
    }
    return found->run(arguments);
}

} // namespace agateledge
