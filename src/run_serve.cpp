#include "run_serve.hpp"

#include "daemon_process.hpp"

#include <glib-unix.h>

#include <csignal>
#include <cstdio>
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
        std::fprintf(stderr, "agateledge: %s\n", status.ToString().c_str());
    }
    return G_SOURCE_CONTINUE;
}

} // namespace

int run_serve(settings const &config)
{
    auto const start_time = static_cast<std::uint64_t>(g_get_real_time());
    daemon_process daemon(config, incarnation_number(start_time), start_time);
    auto const status = daemon.start();
    if (!status.ok())
    {
        std::fprintf(stderr, "agateledge: %s\n", status.ToString().c_str());
        return 2;
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
    return 0;
}

} // namespace agateledge
