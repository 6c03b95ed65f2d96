#include "rendezvous_rank.hpp"

#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace agateledge
{

namespace
{

std::uint64_t weight(std::string_view duty, std::string const &daemon)
{
    std::string text(duty);
    text += '\n';
    text += daemon;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::size_t rendezvous_rank(world const &w, std::string_view duty)
{
    auto const own = weight(duty, w.identity.name);
    auto const higher = std::ranges::count_if(
        w.peers.states,
        [&](auto const &item)
        {
            auto const &peer = item.second;
            return peer.data_centre == w.identity.data_centre &&
                   peer.condition == peer_condition::live &&
                   weight(duty, peer.name) > own;
        });
    return static_cast<std::size_t>(higher);
}

} // namespace agateledge
