#ifndef AGATELEDGE_LATENCY_WINDOW_HPP
#define AGATELEDGE_LATENCY_WINDOW_HPP

#include "time.hpp"

#include <array>
#include <cstddef>

namespace agateledge
{

/// The most recent latencies of one kind of call.
class latency_window
{
public:
    void add(duration value);

    /// @param share fraction of the calls that took no longer, for example 0.95
    /// @return the latency, or 0 before the first call
    duration quantile(double share) const;

private:
    std::array<duration, 64> values_{};
    std::size_t count_ = 0;
};

} // namespace agateledge

#endif
