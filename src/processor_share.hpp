#ifndef AGATELEDGE_PROCESSOR_SHARE_HPP
#define AGATELEDGE_PROCESSOR_SHARE_HPP

#include "time.hpp"

namespace agateledge
{

/// Limits one kind of work of the main loop to a share of the time, so that
/// other work is done between.
class processor_share
{
public:
    /// @param share part of the time, above 0 and at most 1
    /// @param burst time that may be spent at once
    processor_share(double share, duration burst) : share_(share), burst_(burst)
    {
    }

    /// Records work.
    ///
    /// @param spent time that it took
    /// @param now time of its end
    void record(duration spent, instant now);

    /// @return time until the work may go on; 0 when it may now
    duration wait(instant now) const;

private:
    duration used_at(instant now) const;

    double share_;
    duration burst_;
    /// Time spent beyond the share, as of `recorded_at_`.
    duration used_{};
    instant recorded_at_{};
};

} // namespace agateledge

#endif
