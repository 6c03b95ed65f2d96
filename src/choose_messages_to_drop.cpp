#include "choose_messages_to_drop.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace agateledge
{

namespace
{

/// Messages of one sender.
struct sender_messages
{
    std::size_t bytes = 0;
    /// Sizes and indices, as a heap with the largest first.
    std::vector<std::pair<std::size_t, std::size_t>> sizes;
};

/// Order in which messages are given up; lower ranks go first.
int rank_of(held_message const &message)
{
    if (message.stalled)
    {
        return 0;
    }
    constexpr int first_idle = 1;
    constexpr int first_active = 3;
    return (message.idle ? first_idle : first_active) +
           (message.has_length ? 1 : 0);
}

/// Chooses among the messages of one rank.
///
/// @param total bytes of all messages that stay; reduced by each choice
void drop_some(std::vector<held_message> const &messages, int rank,
               std::size_t limit, std::size_t &total,
               std::vector<std::size_t> &dropped)
{
    std::unordered_map<std::string_view, sender_messages> senders;
    for (std::size_t i = 0; i < messages.size(); ++i)
    {
        auto const &message = messages[i];
        if (rank_of(message) == rank)
        {
            auto &sender = senders[message.sender];
            sender.bytes += message.bytes;
            sender.sizes.emplace_back(message.bytes, i);
        }
    }
    std::ranges::for_each(senders, [](auto &item)
                          { std::ranges::make_heap(item.second.sizes); });
    while (total > limit && !senders.empty())
    {
        auto const largest = std::ranges::max_element(
            senders, std::less<>(),
            [](auto const &item) { return item.second.bytes; });
        auto &sender = largest->second;
        std::ranges::pop_heap(sender.sizes);
        auto const [bytes, index] = sender.sizes.back();
        sender.sizes.pop_back();
        sender.bytes -= bytes;
        total -= bytes;
        dropped.push_back(index);
        if (sender.sizes.empty())
        {
            senders.erase(largest);
        }
    }
}

} // namespace

std::vector<std::size_t>
choose_messages_to_drop(std::vector<held_message> const &messages,
                        std::size_t limit)
{
    auto total =
        std::accumulate(messages.begin(), messages.end(), std::size_t{0},
                        [](std::size_t sum, held_message const &message)
                        { return sum + message.bytes; });
    std::vector<std::size_t> out;
    for (int const rank : {0, 1, 2, 3, 4})
    {
        drop_some(messages, rank, limit, total, out);
    }
    return out;
}

} // namespace agateledge
