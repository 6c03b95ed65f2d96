#include "latency_window.hpp"

#include <algorithm>

namespace agateledge
{

void latency_window::add(duration value)
{
    values_.at(count_ % values_.size()) = value;
    ++count_;
}

duration latency_window::quantile(double share) const
{
    auto const size = std::min(count_, values_.size());
    if (size == 0)
    {
        return {};
    }
    auto sorted = values_;
    auto const rank = std::min(
        size - 1, static_cast<std::size_t>(share * static_cast<double>(size)));
    std::nth_element(sorted.begin(),
                     sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.begin() + static_cast<std::ptrdiff_t>(size));
    return sorted.at(rank);
}

} // namespace agateledge
