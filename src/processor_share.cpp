#include "processor_share.hpp"

#include <algorithm>

namespace agateledge
{

duration processor_share::used_at(instant now) const
{
    auto const regained = from_seconds(to_seconds(now - recorded_at_) * share_);
    return std::max(used_ - regained, duration(0));
}

void processor_share::record(duration spent, instant now)
{
    used_ = used_at(now) + spent;
    recorded_at_ = now;
}

duration processor_share::wait(instant now) const
{
    auto const excess = used_at(now) - burst_;
    return excess > duration(0) ? from_seconds(to_seconds(excess) / share_)
                                : duration(0);
}

} // namespace agateledge
