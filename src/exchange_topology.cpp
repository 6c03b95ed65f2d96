#include "exchange_topology.hpp"

#include "rendezvous_rank.hpp"
#include "world.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>

namespace agateledge
{

namespace
{

/// Largest fleet in which each daemon reports directly to all others.
constexpr std::size_t max_mesh_daemons = 9;

constexpr char const *hub_hash_key = "load_hub";

/// @return names of the other daemons that satisfy `predicate`
template <class Predicate>
std::vector<std::string> peers_where(world const &w, Predicate predicate)
{
    std::vector<std::string> out;
    for (auto const &[name, peer] : w.proxy.daemons)
    {
        if (name != w.identity.name && predicate(peer))
        {
            out.push_back(name);
        }
    }
    return out;
}

} // namespace

bool is_mesh(proxy_state const &proxy)
{
    return proxy.daemons.size() <= max_mesh_daemons;
}

bool is_mesh(world const &w)
{
    return is_mesh(w.proxy);
}

/// @return name of the daemon that is the hub of a data centre; empty when no
///         daemon with an address is known there
std::string hub_of(world const &w, std::string const &data_centre)
{
    std::string hub;
    std::uint64_t highest = 0;
    auto const consider = [&](std::string const &name)
    {
        auto const weight = rendezvous_weight(hub_hash_key, name);
        if (hub.empty() || weight > highest)
        {
            hub = name;
            highest = weight;
        }
    };
    for (auto const &[name, peer] : w.proxy.daemons)
    {
        if (peer.data_centre == data_centre && !peer.address.empty())
        {
            consider(name);
        }
    }
    if (data_centre == w.identity.data_centre)
    {
        consider(w.identity.name);
    }
    return hub;
}

std::vector<std::string> remote_hubs(world const &w)
{
    std::set<std::string> data_centres;
    for (auto const &[name, peer] : w.proxy.daemons)
    {
        if (peer.data_centre != w.identity.data_centre)
        {
            data_centres.insert(peer.data_centre);
        }
    }
    std::vector<std::string> out;
    std::ranges::transform(data_centres, std::back_inserter(out),
                           [&w](std::string const &data_centre)
                           { return hub_of(w, data_centre); });
    return out;
}

std::vector<std::string> all_peers(world const &w)
{
    return peers_where(w, [](daemon_peer const &) { return true; });
}

std::vector<std::string> local_peers(world const &w)
{
    return peers_where(w, [&w](daemon_peer const &peer)
                       { return peer.data_centre == w.identity.data_centre; });
}

std::vector<std::string> addresses_of(world const &w,
                                      std::vector<std::string> const &names)
{
    std::vector<std::string> out;
    for (auto const &name : names)
    {
        auto const peer = w.proxy.daemons.find(name);
        if (peer != w.proxy.daemons.end() && !peer->second.address.empty())
        {
            out.push_back(peer->second.address);
        }
    }
    return out;
}

} // namespace agateledge
