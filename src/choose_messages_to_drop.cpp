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

/// Chooses among the messages with, or without, a declared length.
///
/// @param total bytes of all messages that stay; reduced by each choice
void drop_some(std::vector<held_message> const &messages, bool has_length,
               std::size_t limit, std::size_t &total,
               std::vector<std::size_t> &dropped)
{
    std::unordered_map<std::string_view, sender_messages> senders;
    for (std::size_t i = 0; i < messages.size(); ++i)
    {
        auto const &message = messages[i];
        if (message.has_length == has_length)
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
    drop_some(messages, false, limit, total, out);
    drop_some(messages, true, limit, total, out);
    return out;
}

} // namespace agateledge
