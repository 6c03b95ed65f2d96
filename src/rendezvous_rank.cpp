#include "rendezvous_rank.hpp"

#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace agateledge
{

std::uint64_t rendezvous_weight(std::string_view duty, std::string_view daemon)
{
    std::string text(duty);
    text += '\n';
    text += daemon;
    return XXH3_64bits(text.data(), text.size());
}

std::size_t rendezvous_rank(world const &w, std::string_view duty)
{
    auto const local_weight = rendezvous_weight(duty, w.identity.name);
    auto const higher = std::ranges::count_if(
        w.peers.states,
        [&](auto const &item)
        {
            auto const &peer = item.second;
            return peer.data_centre == w.identity.data_centre &&
                   peer.condition == peer_condition::live &&
                   rendezvous_weight(duty, peer.name) > local_weight;
        });
    return static_cast<std::size_t>(higher);
}

} // namespace agateledge
