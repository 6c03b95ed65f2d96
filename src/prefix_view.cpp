#include "prefix_view.hpp"

#include <algorithm>

namespace agateledge
{

void prefix_view::apply(engine_index engine, cache_event const &event)
{
    auto &stream = streams_[engine];
    if (event.sequence <= stream.sequence)
    {
        return;
    }
    if (event.sequence != stream.sequence + 1)
    {
        ++stream.epoch;
    }
    stream.sequence = event.sequence;
    if (event.stored)
    {
        store(engine, event.prefix_hash);
    }
    else
    {
        drop(engine, event.prefix_hash);
    }
}

void prefix_view::add_expected(engine_index engine,
                               std::vector<std::uint64_t> const &hashes)
{
    std::ranges::for_each(hashes, [this, engine](std::uint64_t hash)
                          { store(engine, hash); });
}

std::vector<prefix_view::match>
prefix_view::longest(std::vector<std::uint64_t> const &hashes) const
{
    // A cache that holds a block holds all blocks before it, so the longest
    // known prefix can be found by bisection.
    auto const end =
        std::ranges::partition_point(hashes, [this](std::uint64_t hash)
                                     { return prefixes_.contains(hash); });
    std::vector<match> out;
    if (end == hashes.begin())
    {
        return out;
    }
    auto const &found = prefixes_.at(*std::prev(end));
    auto const blocks = static_cast<int>(end - hashes.begin());
    for (std::size_t i = 0; i < found.count; ++i)
    {
        auto const &holder = found.holders.at(i);
        out.push_back(
            {holder.engine, blocks, holder.epoch == epoch_of(holder.engine)});
    }
    return out;
}

std::uint32_t prefix_view::epoch_of(engine_index engine) const
{
    auto const found = streams_.find(engine);
    return found == streams_.end() ? 0 : found->second.epoch;
}

void prefix_view::store(engine_index engine, std::uint64_t hash)
{
    auto const [place, added] = prefixes_.try_emplace(hash);
    if (added)
    {
        order_.push_back(hash);
    }
    auto &entry = place->second;
    auto const end =
        entry.holders.begin() + static_cast<std::ptrdiff_t>(entry.count);
    auto const known = std::find_if(entry.holders.begin(), end,
                                    [engine](holder const &item)
                                    { return item.engine == engine; });
    if (known != end)
    {
        known->epoch = epoch_of(engine);
        return;
    }
    entry.holders.at(entry.next) = {engine, epoch_of(engine)};
    entry.next = (entry.next + 1) % max_holders;
    entry.count = std::min(entry.count + 1, max_holders);
    while (order_.size() > max_prefixes)
    {
        prefixes_.erase(order_.front());
        order_.pop_front();
    }
}

void prefix_view::drop(engine_index engine, std::uint64_t hash)
{
    auto const found = prefixes_.find(hash);
    if (found == prefixes_.end())
    {
        return;
    }
    auto &entry = found->second;
    for (std::size_t i = 0; i < entry.count; ++i)
    {
        if (entry.holders.at(i).engine == engine)
        {
            entry.holders.at(i) = entry.holders.at(entry.count - 1);
            --entry.count;
            entry.next = entry.count;
            break;
        }
    }
    if (entry.count == 0)
    {
        prefixes_.erase(found);
    }
}

} // namespace agateledge
