#include "shutdown_wait.hpp"

#include <glib.h>

#include <utility>

namespace agateledge
{

namespace
{

/// Short compared with a shutdown, which takes seconds.
constexpr guint check_interval_ms = 20;

} // namespace

shutdown_wait::~shutdown_wait()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

void shutdown_wait::begin(std::function<bool()> is_finished,
                          std::function<void()> on_finished)
{
    is_finished_ = std::move(is_finished);
    on_finished_ = std::move(on_finished);
    timer_ = g_timeout_add(
        check_interval_ms,
        [](gpointer self) -> gboolean
        {
            static_cast<shutdown_wait *>(self)->check();
            return G_SOURCE_CONTINUE;
        },
        this);
}

void shutdown_wait::check()
{
    if (on_finished_ && is_finished_())
    {
        std::exchange(on_finished_, {})();
    }
}

} // namespace agateledge
