#include "run_check.hpp"

#include "command_options.hpp"
#include "load_settings.hpp"
#include "proxy_settings.hpp"
#include "settings.hpp"

#include <iostream>

namespace agateledge
{

namespace
{

int check_proxy_settings(std::string const &file)
{
    auto const loaded = load_proxy_settings(file);
    if (!loaded.ok())
    {
        std::cerr << loaded.status().message() << "\n";
        return exit_usage;
    }
    std::cout << file << ": valid; callers " << loaded->caller_address
              << ", store " << loaded->store_address << "\n";
    return exit_success;
}

} // namespace

int run_check(std::vector<std::string> const &arguments)
{
    command_options options("agateledge check: checks a settings file");
    options.add()("settings", boost::program_options::value<std::string>(),
                  "TOML file to check")("relay",
                                        "the file is for `agateledge relay`");
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    auto const file = options.values()["settings"].as<std::string>();
    if (options.values().count("relay") != 0)
    {
        return check_proxy_settings(file);
    }
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
