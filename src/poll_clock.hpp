#ifndef AGATELEDGE_POLL_CLOCK_HPP
#define AGATELEDGE_POLL_CLOCK_HPP

#include "time.hpp"

#include <glib.h>

#include <functional>

namespace agateledge
{

/// Records when the default main context polls its sources. Input that is
/// handled in an iteration arrived after the previous poll, which can be long
/// ago in a busy process.
class poll_clock
{
public:
    poll_clock();
    ~poll_clock();
    poll_clock(poll_clock const &) = delete;
    poll_clock &operator=(poll_clock const &) = delete;

    /// @return earliest time at which the input of this iteration can have
    ///         arrived; the end of the poll if it had to wait for input
    instant input_since() const { return input_since_; }

    /// Called after each poll with the time that the handlers took before it.
    std::function<void(duration busy, instant now)> on_iteration;

private:
    struct callbacks;

    void record_poll();

    GSource *source_;
    instant poll_began_;
    instant poll_ended_;
    instant input_since_;
};

} // namespace agateledge

#endif
