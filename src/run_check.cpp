#include "run_check.hpp"

#include "command_options.hpp"
#include "load_settings.hpp"
#include "settings.hpp"

#include <iostream>

namespace agateledge
{

int run_check(std::vector<std::string> const &arguments)
{
    command_options options("agateledge check: checks a settings file");
    options.add()("settings", boost::program_options::value<std::string>(),
                  "TOML file to check");
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    auto const file = options.values()["settings"].as<std::string>();
    auto const loaded = load_settings(file);
    if (!loaded.ok())
    {
        std::cerr << loaded.status().message() << "\n";
        return exit_usage;
    }
    std::cout << file << ": valid; " << loaded->initial.engines.size()
              << " engines, " << loaded->initial.endpoints.size()
              << " endpoints, " << loaded->initial.classes.size()
              << " classes\n";
    return exit_success;
}

} // namespace agateledge
