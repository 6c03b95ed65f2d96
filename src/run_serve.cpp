#include "run_serve.hpp"

#include "command_options.hpp"
#include "daemon_process.hpp"
#include "json_log.hpp"
#include "load_settings.hpp"
#include "raise_descriptor_limit.hpp"
#include "run_main_loop.hpp"

#include <iostream>

namespace agateledge
{

int run_serve(settings const &config)
{
    raise_descriptor_limit();
    auto const start_time = static_cast<std::uint64_t>(g_get_real_time());
    daemon_process daemon(config, incarnation_number(start_time), start_time);
    auto const status = daemon.start();
    if (!status.ok())
    {
        std::cerr << status.message() << "\n";
        return exit_usage;
    }
    run_main_loop(daemon);
    return exit_success;
}

int run_serve(std::vector<std::string> const &arguments)
{
    command_options options("agateledge serve: runs one entry daemon");
    options.add()("settings", boost::program_options::value<std::string>(),
                  "TOML file with the settings of the daemon");
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    auto const config =
        load_settings(options.values()["settings"].as<std::string>());
    if (!config.ok())
    {
        std::cerr << config.status().message() << "\n";
        return exit_usage;
    }
    auto const log = start_log(config->log_level);
    if (!log.ok())
    {
        std::cerr << log.message() << "\n";
        return exit_usage;
    }
    return run_serve(*config);
}

} // namespace agateledge
