#include "choose_calls_over_memory.hpp"

#include "choose_messages_to_drop.hpp"
#include "world.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace agateledge
{

namespace
{

/// A string that grows may reserve twice the bytes that it holds; this applies
/// to the begin of a reply and to events that are not complete.
constexpr std::size_t reserve_factor = 2;

std::size_t memory_of(proxy_request_state const &request)
{
    return request.body.capacity() + request.partial_event.capacity();
}

} // namespace

std::vector<attempt_number> choose_calls_over_memory(world &w)
{
    auto const limit = w.proxy.limits.memory.answer_bytes();
    auto &memory = w.proxy.reply_memory;
    if (memory.counted_bytes + reserve_factor * memory.received_bytes <= limit)
    {
        return {};
    }
    std::vector<attempt_number> calls;
    std::vector<held_message> messages;
    std::ranges::for_each(
        w.proxy.requests.all(),
        [&](auto const &item)
        {
            auto const &request = item.second;
            auto const *attempt = request.attempt
                                      ? w.proxy.requests.find(*request.attempt)
                                      : nullptr;
            if (attempt == nullptr || memory_of(request) == 0)
            {
                return;
            }
            bool const has_length =
                request.head && request.head->framing == body_framing::length;
            calls.push_back(attempt->attempt);
            messages.push_back(
                {attempt->instance, memory_of(request), has_length});
        });
    memory.counted_bytes =
        std::accumulate(messages.begin(), messages.end(), std::size_t{0},
                        [](std::size_t sum, held_message const &message)
                        { return sum + message.bytes; });
    memory.received_bytes = 0;
    std::vector<attempt_number> out;
    std::ranges::transform(
        choose_messages_to_drop(messages, limit), std::back_inserter(out),
        [&calls](std::size_t index) { return calls.at(index); });
    return out;
}

} // namespace agateledge
