#include "run_serve_command.hpp"

#include "command_options.hpp"
#include "json_log.hpp"
#include "load_settings.hpp"
#include "run_serve.hpp"
#include "settings.hpp"

#include <iostream>

namespace agateledge
{

int run_serve_command(std::vector<std::string> const &arguments)
{
    command_options options("agateledge serve: runs one entry daemon");
    options.add()("settings", boost::program_options::value<std::string>(),
                  "TOML file of the daemon");
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    auto const loaded =
        load_settings(options.values()["settings"].as<std::string>());
    if (!loaded.ok())
    {
        std::cerr << loaded.status().message() << "\n";
        return exit_usage;
    }
    if (auto const log = start_log(loaded->log_level); !log.ok())
    {
        std::cerr << log.message() << "\n";
        return exit_usage;
    }
    return run_serve(*loaded);
}

} // namespace agateledge
