#ifndef AGATELEDGE_REPLAY_WINDOW_HPP
#define AGATELEDGE_REPLAY_WINDOW_HPP

#include <bitset>
#include <cstdint>

namespace agateledge
{

/// Accepts each counter of one sender once. Calls sent over several connections
/// may arrive out of order, so the last `width` counters are tracked one by
/// one; counters older than that are refused.
class replay_window
{
public:
    static constexpr std::uint64_t width = 256;

    /// @return true when `counter` is within the window or above it and was not
    ///         accepted before; 0 is always refused
    bool accept(std::uint64_t counter);

private:
    std::uint64_t highest_ = 0;
    /// Bit i is set when `highest_ - i` was accepted.
    std::bitset<width> accepted_;
};

} // namespace agateledge

#endif
