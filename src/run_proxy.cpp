#include "run_proxy.hpp"

#include "command_options.hpp"
#include "json_log.hpp"
#include "platform_codec.hpp"
#include "proxy_process.hpp"
#include "raise_descriptor_limit.hpp"
#include "run_main_loop.hpp"
#include "settings_path_variable.hpp"

#include <cstdlib>
#include <iostream>

namespace agateledge
{

namespace
{

std::string default_settings_file()
{
    auto const *file = std::getenv(platform::settings_path_variable);
    return file == nullptr ? std::string() : std::string(file);
}

int run(proxy_settings const &config, std::string const &file)
{
    raise_descriptor_limit();
    auto const start_time = static_cast<std::uint64_t>(g_get_real_time());
    proxy_process daemon(config, file, platform::make_codec(),
                         incarnation_number(start_time), start_time);
    auto const status = daemon.start();
    if (!status.ok())
    {
        std::cerr << status.message() << "\n";
        return exit_usage;
    }
    run_main_loop(daemon);
    // Exits without running destructors: destroying the HTTP sessions waits for
    // their open calls, longer than a planned stop may take. All answers have
    // been written, the log is unbuffered, and the kernel closes the sockets.
    std::_Exit(exit_success);
}

} // namespace

int run_proxy(std::vector<std::string> const &arguments)
{
    command_options options(
        "agateledge relay: runs one proxy daemon behind the load balancer");
    options.add()("settings",
                  boost::program_options::value<std::string>()->default_value(
                      default_settings_file()),
                  "TOML file with the settings of the daemon");
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    auto const file = options.values()["settings"].as<std::string>();
    auto const config = load_proxy_settings(file);
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
    return run(*config, file);
}

} // namespace agateledge
