#ifndef AGATELEDGE_OVERLOAD_GATE_HPP
#define AGATELEDGE_OVERLOAD_GATE_HPP

#include "time.hpp"

#include <functional>

namespace agateledge
{

/// Limits the new requests of a daemon whose processor is saturated. Without a
/// limit, the iterations of its main loop grow with the requests that share
/// them, until none is answered before its caller gives up. The share of
/// requests that are admitted falls while iterations are long and the loop
/// never waits for input, and rises otherwise.
class overload_gate
{
public:
    /// Records an iteration of the main loop.
    ///
    /// @param busy time spent in handlers
    /// @param now end of the poll that followed
    void record_iteration(duration busy, instant now);

    /// @param place uniformly distributed from 0 to 1
    /// @return true when a new request is admitted
    bool admits(double place) const { return place < admitted_share_; }

    /// @return share of new requests that are admitted, from 0 to 1
    double admitted_share() const { return admitted_share_; }

    /// Called when requests begin (true) or cease (false) to be refused.
    std::function<void(bool overloaded)> on_change;

private:
    void end_period(instant now);
    void set_share(double share);

    double admitted_share_ = 1;
    instant period_began_{};
    duration busy_{};
    int iterations_ = 0;
    int saturated_periods_ = 0;
};

} // namespace agateledge

#endif
