#include "run_serve.hpp"

#include "command_options.hpp"
#include "daemon_process.hpp"
#include "json_log.hpp"
#include "load_settings.hpp"
#include "raise_descriptor_limit.hpp"

#include <glib-unix.h>

#include <csignal>
#include <iostream>
#include <memory>

namespace agateledge
{

namespace
{

struct main_loop_unref
{
    void operator()(GMainLoop *loop) const { g_main_loop_unref(loop); }
};

gboolean stop(gpointer daemon)
{
    static_cast<daemon_process *>(daemon)->shut_down();
    return G_SOURCE_CONTINUE;
}

gboolean reload(gpointer daemon)
{
    auto const status = static_cast<daemon_process *>(daemon)->reload();
    if (!status.ok())
    {
        std::cerr << status.message() << "\n";
    }
    return G_SOURCE_CONTINUE;
}

} // namespace

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
    std::unique_ptr<GMainLoop, main_loop_unref> const loop(
        g_main_loop_new(nullptr, FALSE));
    daemon.on_stopped = [&loop] { g_main_loop_quit(loop.get()); };
    auto const term = g_unix_signal_add(SIGTERM, stop, &daemon);
    auto const interrupt = g_unix_signal_add(SIGINT, stop, &daemon);
    auto const hangup = g_unix_signal_add(SIGHUP, reload, &daemon);
    g_main_loop_run(loop.get());
    g_source_remove(term);
    g_source_remove(interrupt);
    g_source_remove(hangup);
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
