#ifndef AGATELEDGE_REPLAY_WINDOW_HPP
#define AGATELEDGE_REPLAY_WINDOW_HPP

#include <bitset>
#include <cstdint>

namespace agateledge
{

/// Accepts each counter of one sender once. Calls over several connections may
/// arrive out of order, so that the last `width` counters are told apart; older
/// ones are refused.
class replay_window
{
public:
    static constexpr std::uint64_t width = 256;

    /// @return true when `counter` was not accepted before
    bool accept(std::uint64_t counter);

private:
    std::uint64_t highest_ = 0;
    /// Bit i is set when `highest_ - i` was accepted.
    std::bitset<width> seen_;
};

} // namespace agateledge

#endif
