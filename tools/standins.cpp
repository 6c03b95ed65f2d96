// Runs the stand-ins for the services that the daemons depend on in one
// process, at the addresses in a settings file, until SIGTERM.
#include "command_options.hpp"
#include "load_settings.hpp"
#include "settings.hpp"
#include "standin_fleet.hpp"

#include <glib-unix.h>

#include <csignal>
#include <iostream>

namespace
{

using namespace agateledge;

gboolean quit_loop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop *>(loop));
    return G_SOURCE_CONTINUE;
}

int run(std::string const &file)
{
    auto loaded = load_settings(file);
    if (!loaded.ok())
    {
        std::cerr << loaded.status().message() << "\n";
        return exit_usage;
    }
    standin_fleet fleet(1);
    auto const status = fleet.start(*loaded, false);
    if (!status.ok())
    {
        std::cerr << status.message() << "\n";
        return exit_failure;
    }
    auto *loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, quit_loop, loop);
    std::cout << "ready" << std::endl;
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return exit_success;
}

} // namespace

int main(int argc, char **argv)
{
    command_options options(
        "standins: runs the stand-ins for the services in a settings file");
    options.add()("settings", boost::program_options::value<std::string>(),
                  "TOML file");
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    if (auto const code = options.parse(arguments, {"settings"}))
    {
        return *code;
    }
    return run(options.values()["settings"].as<std::string>());
}
