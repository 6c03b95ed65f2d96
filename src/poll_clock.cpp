#include "poll_clock.hpp"

#include "daemon_loop.hpp"

#include <utility>

namespace agateledge
{

namespace
{

/// Duration above which a poll has waited, because no source was ready.
constexpr duration min_idle_poll = milliseconds(1);

/// A source that is never ready; the main context asks it before and after each
/// poll.
struct poll_source
{
    GSource base;
    poll_clock *clock;
};

} // namespace

struct poll_clock::callbacks
{
    static poll_clock &clock_of(GSource *source)
    {
        return *reinterpret_cast<poll_source *>(source)->clock;
    }

    static gboolean prepare(GSource *source, gint *timeout)
    {
        *timeout = -1;
        clock_of(source).poll_began_ = daemon_loop::clock_now();
        return FALSE;
    }

    static gboolean check(GSource *source)
    {
        clock_of(source).record_poll();
        return FALSE;
    }

    static gboolean dispatch(GSource *, GSourceFunc, gpointer)
    {
        return G_SOURCE_CONTINUE;
    }

    static inline GSourceFuncs functions{prepare, check,   dispatch,
                                         nullptr, nullptr, nullptr};
};

poll_clock::poll_clock()
    : source_(g_source_new(&callbacks::functions, sizeof(poll_source))),
      poll_began_(daemon_loop::clock_now()), poll_ended_(poll_began_),
      input_since_(poll_began_)
{
    reinterpret_cast<poll_source *>(source_)->clock = this;
    g_source_set_priority(source_, G_PRIORITY_HIGH);
    g_source_attach(source_, nullptr);
}

poll_clock::~poll_clock()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

void poll_clock::record_poll()
{
    auto const now = daemon_loop::clock_now();
    auto const previous = std::exchange(poll_ended_, now);
    input_since_ = now - poll_began_ > min_idle_poll ? now : previous;
    if (on_iteration)
    {
        on_iteration(poll_began_ - previous, now);
    }
}

} // namespace agateledge
