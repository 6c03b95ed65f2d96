#ifndef AGATELEDGE_DUE_QUEUE_HPP
#define AGATELEDGE_DUE_QUEUE_HPP

#include "time.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace agateledge
{

/// Items ordered by the time at which they are due. An item may be queued
/// several times; the owner checks on `pop_due` whether it still applies.
template <class Item>
class due_queue
{
public:
    void add(instant when, Item item) { queue_.emplace(when, item); }

    /// Removes and returns the earliest item that is due at `now`, if any.
    std::optional<Item> pop_due(instant now)
    {
        if (queue_.empty() || queue_.top().first > now)
        {
            return std::nullopt;
        }
        auto const item = queue_.top().second;
        queue_.pop();
        return item;
    }

    /// @return the time at which the next item is due, if there is one
    std::optional<instant> next() const
    {
        return queue_.empty() ? std::nullopt
                              : std::optional(queue_.top().first);
    }

private:
    using entry = std::pair<instant, Item>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> queue_;
};

} // namespace agateledge

#endif
