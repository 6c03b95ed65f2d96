#ifndef AGATELEDGE_RUN_MAIN_LOOP_HPP
#define AGATELEDGE_RUN_MAIN_LOOP_HPP

#include <glib-unix.h>

#include <csignal>
#include <memory>

namespace agateledge
{

struct main_loop_unref
{
    void operator()(GMainLoop *loop) const { g_main_loop_unref(loop); }
};

/// Runs the default GLib main loop until the daemon has stopped. SIGTERM and
/// SIGINT start its shutdown; SIGHUP calls its `reload()`.
///
/// @tparam Daemon has `shut_down()`, `reload()` and the callback `on_stopped`
template <class Daemon>
void run_main_loop(Daemon &daemon)
{
    std::unique_ptr<GMainLoop, main_loop_unref> const loop(
        g_main_loop_new(nullptr, FALSE));
    daemon.on_stopped = [&loop] { g_main_loop_quit(loop.get()); };
    auto const stop = [](gpointer data) -> gboolean
    {
        static_cast<Daemon *>(data)->shut_down();
        return G_SOURCE_CONTINUE;
    };
    auto const reload = [](gpointer data) -> gboolean
    {
        // `reload()` logs a failure and keeps the old keys and certificates.
        static_cast<void>(static_cast<Daemon *>(data)->reload());
        return G_SOURCE_CONTINUE;
    };
    auto const term = g_unix_signal_add(SIGTERM, stop, &daemon);
    auto const interrupt = g_unix_signal_add(SIGINT, stop, &daemon);
    auto const hangup = g_unix_signal_add(SIGHUP, reload, &daemon);
    g_main_loop_run(loop.get());
    g_source_remove(term);
    g_source_remove(interrupt);
    g_source_remove(hangup);
}

} // namespace agateledge

#endif
