#include "dispatch_queue.hpp"

namespace agateledge
{

void dispatch_queue::add(request_number request, std::string const &lane_name,
                         instant rank, instant expires)
{
    remove(request);
    auto &target = lanes_[lane_name];
    target.waiting.emplace(rank, request);
    expiries_.emplace(expires, request);
    positions_[request] = {&target, rank, expires};
}

void dispatch_queue::remove(request_number request)
{
    auto const found = positions_.find(request);
    if (found == positions_.end())
    {
        return;
    }
    auto const &position = found->second;
    position.queued_in->waiting.erase({position.rank, request});
    expiries_.erase({position.expires, request});
    positions_.erase(found);
}

std::vector<request_number> dispatch_queue::pop_expired(instant now)
{
    std::vector<request_number> expired;
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        expired.push_back(expiries_.begin()->second);
        remove(expired.back());
    }
    return expired;
}

instant dispatch_queue::next_expiry() const
{
    return expiries_.empty() ? instant::max() : expiries_.begin()->first;
}

} // namespace agateledge
