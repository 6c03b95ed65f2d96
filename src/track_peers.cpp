#include "track_peers.hpp"

#include "apply_configuration.hpp"
#include "issue_orders.hpp"
#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

constexpr duration round_interval = milliseconds(500);
/// Bytes of a call and its answer without their lists: headers and envelopes.
constexpr std::size_t exchange_bytes = 900;
/// Bytes of one list entry.
constexpr std::size_t share_bytes = 90;
constexpr std::size_t demand_bytes = 80;
constexpr std::size_t change_bytes = 60;
/// Daemons of each other data centre that one daemon calls. Each daemon has a
/// different set of partners, so that updates reach another data centre over
/// several paths.
constexpr std::size_t partners_per_remote_data_centre = 2;
constexpr duration min_peer_timeout = milliseconds(2500);
/// Rotations of heartbeats through all peers that a live peer may miss.
constexpr int max_missed_rotations = 3;
/// Factor by which peers of the local data centre are called more often.
constexpr int local_data_centre_weight = 4;
/// Pause between calls to a peer whose last call failed.
constexpr duration failed_call_interval = seconds(2);
/// Time after which a silent peer that is not listed is removed.
constexpr duration removal_timeout = seconds(60);
/// Shares in one heartbeat; limits its size in a large fleet.
constexpr std::size_t max_shares = 32;

/// @return bytes of a call with `message` and of an answer of the same size
double bytes_of(heartbeat const &message)
{
    auto const lists = message.shares.size() * share_bytes +
                       message.demand.size() * demand_bytes +
                       message.changes.size() * change_bytes;
    return static_cast<double>(exchange_bytes + 2 * lists);
}

duration peer_timeout(world const &w)
{
    auto const rotation =
        from_seconds(static_cast<double>(w.peers.states.size()) *
                     w.peers.last_exchange_bytes / heartbeat_bytes_per_second);
    return std::max(min_peer_timeout, rotation * max_missed_rotations);
}

void add_shares(world &w, peer_state const &peer, int sign)
{
    for (auto const &share : peer.shares)
    {
        auto &engine = w.engines.at(*w.engines.find(share.engine));
        engine.peer_requests += sign * share.requests;
        engine.peer_prefill_tokens += sign * share.prefill_tokens;
        engine.peer_decode_requests += sign * share.decode_requests;
    }
}

void replace_shares(world &w, peer_state &peer,
                    std::vector<engine_share> const &shares)
{
    add_shares(w, peer, -1);
    peer.shares.clear();
    std::ranges::copy_if(shares, std::back_inserter(peer.shares),
                         [&w](engine_share const &share)
                         { return w.engines.find(share.engine).has_value(); });
    add_shares(w, peer, 1);
}

peer_condition condition_of(peer_state const &peer, instant now,
                            duration timeout)
{
    if (peer.host_leaving || peer.draining)
    {
        return peer_condition::leaving;
    }
    bool const recent =
        peer.last_heartbeat_at && now - *peer.last_heartbeat_at <= timeout;
    return recent && !peer.last_call_failed ? peer_condition::live
                                            : peer_condition::suspect;
}

bool is_silent(world const &w, peer_state const &peer, duration limit)
{
    return !peer.last_heartbeat_at || w.now - *peer.last_heartbeat_at > limit;
}

/// Updates the conditions of the peers, and drops the load and demand that
/// silent peers reported.
void update_conditions(world &w)
{
    auto const timeout = peer_timeout(w);
    int live = 1;
    for (auto &[name, peer] : w.peers.states)
    {
        peer.condition = condition_of(peer, w.now, timeout);
        live += peer.condition == peer_condition::live ? 1 : 0;
        if (is_silent(w, peer, timeout) && !peer.shares.empty())
        {
            replace_shares(w, peer, {});
            peer.demand.clear();
        }
    }
    w.peers.live_daemons = live;
}

void remove_expired_peers(world &w)
{
    std::erase_if(w.peers.states,
                  [&w](auto const &item)
                  {
                      auto const &peer = item.second;
                      return !peer.listed && peer.shares.empty() &&
                             is_silent(w, peer, removal_timeout);
                  });
}

void apply_notice(world &w, engine_change const &change)
{
    auto const index = w.engines.find(change.engine);
    auto const stated_at = w.now - duration(change.age_us);
    bool const changed_here = w.orders.active.contains(change.engine);
    if (!index || changed_here || w.now - stated_at >= change_notice_lifetime)
    {
        return;
    }
    auto &engine = w.engines.at(*index);
    if (engine.report && engine.report->generation > change.generation)
    {
        return;
    }
    auto &notice = w.orders.notices.try_emplace(change.engine).first->second;
    if (notice.generation != change.generation || notice.stated_at == instant())
    {
        notice = {change.generation, w.now, stated_at, false};
    }
    notice.stated_at = std::max(notice.stated_at, stated_at);
    engine.changing = true;
}

/// Measures the age of a confirmation from the time of this daemon's call, so
/// that a message that was delayed while a process was paused does not count as
/// a recent confirmation.
void apply_confirmation(world &w, peer_state const &peer,
                        heartbeat const &message)
{
    if (message.answered_sequence != 0 &&
        message.answered_sequence == peer.called_sequence &&
        message.revision == w.config.revision && message.revision_age_us >= 0)
    {
        confirm_revision(w,
                         *peer.called_at - duration(message.revision_age_us));
    }
}

/// @return false for a message of this daemon, or one that is not newer than
///         the last one of its sender
bool apply_heartbeat(world &w, heartbeat const &message)
{
    if (message.from == w.identity.name)
    {
        return false;
    }
    auto &peer = w.peers.states[message.from];
    bool const newer = message.incarnation > peer.incarnation;
    if (message.incarnation < peer.incarnation ||
        (!newer && message.sequence <= peer.sequence))
    {
        return false;
    }
    peer.name = message.from;
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.address = message.address;
    peer.data_centre = message.data_centre;
    peer.last_heartbeat_at = w.now;
    peer.last_call_failed = false;
    peer.draining = message.draining;
    peer.revision = message.revision;
    peer.demand = message.demand;
    replace_shares(w, peer, message.shares);
    apply_confirmation(w, peer, message);
    std::ranges::for_each(message.changes, [&w](engine_change const &change)
                          { apply_notice(w, change); });
    return true;
}

void handle_failure(world &w, peer_failure const &failure)
{
    auto const found = w.peers.states.find(failure.peer);
    if (found != w.peers.states.end())
    {
        found->second.last_call_failed = true;
    }
}

void apply_host_entry(world &w, host_entry const &host)
{
    if (host.name == w.identity.name)
    {
        return;
    }
    auto &peer = w.peers.states[host.name];
    peer.name = host.name;
    peer.data_centre = host.data_centre;
    peer.address = host.address;
    peer.listed = true;
    peer.host_leaving = host.leaving;
}

std::string without_port(std::string const &address)
{
    return address.substr(0, address.rfind(':'));
}

/// Marks the engines or endpoints on hosts that are leaving. A host matches by
/// name, by address, or by address without the port.
template <class Table>
void mark_leaving(Table &table, std::set<std::string> const &leaving)
{
    for (auto &state : table.all())
    {
        auto const &definition = state.definition;
        state.leaving = leaving.contains(definition.name) ||
                        leaving.contains(definition.address) ||
                        leaving.contains(without_port(definition.address));
    }
}

void apply_membership(world &w, membership_report const &report)
{
    for (auto &[name, peer] : w.peers.states)
    {
        peer.listed = false;
        peer.host_leaving = false;
    }
    std::set<std::string> leaving;
    for (auto const &host : report.hosts)
    {
        if (host.entry)
        {
            apply_host_entry(w, host);
        }
        else if (host.leaving)
        {
            leaving.insert(host.name);
            leaving.insert(host.address);
        }
    }
    leaving.erase("");
    mark_leaving(w.engines, leaving);
    mark_leaving(w.endpoints, leaving);
}

/// @return the time since the last call, multiplied for peers of the local data
///         centre, which are called more often
duration call_age(world const &w, peer_state const &peer)
{
    auto const age = w.now - peer.called_at.value_or(instant(-hours(1)));
    bool const local = peer.data_centre == w.identity.data_centre;
    return local ? age * local_data_centre_weight : age;
}

/// @return rank of a peer among those of its data centre; differs between
///         daemons
std::uint64_t partner_rank(world const &w, peer_state const &peer)
{
    auto const text = w.identity.name + "/" + peer.name;
    return XXH3_64bits(text.data(), text.size());
}

/// @return names of the peers of other data centres that this daemon calls
std::set<std::string> partners_of(world const &w)
{
    std::map<std::string, std::map<std::uint64_t, std::string>> ranked;
    for (auto const &[name, peer] : w.peers.states)
    {
        ranked[peer.data_centre][partner_rank(w, peer)] = name;
    }
    std::set<std::string> partners;
    for (auto const &[data_centre, peers] : ranked)
    {
        bool const local = data_centre == w.identity.data_centre;
        auto const count =
            local ? peers.size()
                  : std::min(peers.size(), partners_per_remote_data_centre);
        std::transform(peers.begin(),
                       std::next(peers.begin(), static_cast<long>(count)),
                       std::inserter(partners, partners.end()),
                       [](auto const &item) { return item.second; });
    }
    return partners;
}

std::vector<peer_state *> peers_to_call(world &w)
{
    auto const partners = partners_of(w);
    std::vector<peer_state *> chosen;
    for (auto &[name, peer] : w.peers.states)
    {
        if (!partners.contains(name))
        {
            continue;
        }
        bool const backing_off = peer.last_call_failed && peer.called_at &&
                                 w.now - *peer.called_at < failed_call_interval;
        if (!backing_off && !peer.address.empty())
        {
            chosen.push_back(&peer);
        }
    }
    std::ranges::stable_sort(chosen, std::ranges::greater(),
                             [&w](peer_state const *peer)
                             { return call_age(w, *peer); });
    return chosen;
}

void begin_round(world &w)
{
    w.peers.next_round = w.now + round_interval;
    remove_expired_peers(w);
    auto const chosen = peers_to_call(w);
    if (chosen.empty())
    {
        return;
    }
    auto const message = make_heartbeat(w, w.now);
    w.peers.last_exchange_bytes = bytes_of(message);
    for (auto *peer : chosen)
    {
        if (!w.peers.call_budget.try_consume(w.now,
                                             w.peers.last_exchange_bytes))
        {
            return;
        }
        peer->called_at = w.now;
        peer->called_sequence = message.sequence;
        w.out.peer_calls.push_back({peer->name, peer->address, message});
    }
}

std::vector<engine_share> local_shares(world const &w)
{
    std::vector<engine_share> shares;
    for (auto const &engine : w.engines.all())
    {
        if (engine.local_requests > 0)
        {
            shares.push_back({engine.definition.name, engine.local_requests,
                              engine.local_prefill_tokens,
                              engine.local_decode_requests});
        }
    }
    std::ranges::stable_sort(shares, std::ranges::greater(),
                             &engine_share::requests);
    shares.resize(std::min(shares.size(), max_shares));
    return shares;
}

std::vector<engine_change> known_changes(world const &w, instant now)
{
    std::vector<engine_change> changes;
    for (auto const &name : w.orders.active)
    {
        auto const &state = w.orders.states.at(name);
        auto const engine = w.engines.find(name);
        if (engine && w.engines.at(*engine).changing)
        {
            changes.push_back(
                {name, state.record.order.expected_generation, 0});
        }
    }
    for (auto const &[name, notice] : w.orders.notices)
    {
        changes.push_back(
            {name, notice.generation, (now - notice.stated_at).count()});
    }
    return changes;
}

} // namespace

heartbeat make_heartbeat(world &w, instant now, std::uint64_t answers)
{
    heartbeat message;
    message.answered_sequence = answers;
    message.from = w.identity.name;
    message.incarnation = w.identity.incarnation;
    message.data_centre = w.identity.data_centre;
    message.address = w.identity.address;
    message.sequence = ++w.peers.last_sequence;
    message.revision = w.config.revision;
    if (w.config_sync.confirmed_at)
    {
        message.revision_age_us = (now - *w.config_sync.confirmed_at).count();
    }
    message.draining = w.draining;
    message.shares = local_shares(w);
    message.demand = w.peers.local_demand;
    message.changes = known_changes(w, now);
    return message;
}

void add_peer(world &w, std::string const &name, std::string const &address,
              std::string const &data_centre)
{
    if (name == w.identity.name)
    {
        return;
    }
    auto &peer = w.peers.states[name];
    peer.name = name;
    peer.address = address;
    peer.data_centre = data_centre;
    peer.listed = true;
}

int live_daemons(world const &w)
{
    return w.peers.live_daemons;
}

void track_peers(world &w)
{
    for (auto const &report : w.in.membership_reports)
    {
        apply_membership(w, report);
    }
    std::ranges::for_each(w.in.peer_failures, [&w](peer_failure const &failure)
                          { handle_failure(w, failure); });
    std::erase_if(w.in.heartbeats, [&w](heartbeat const &message)
                  { return !apply_heartbeat(w, message); });
    bool const round_due = w.now >= w.peers.next_round;
    if (round_due || !w.in.heartbeats.empty() || !w.in.peer_failures.empty() ||
        !w.in.membership_reports.empty())
    {
        update_conditions(w);
    }
    if (round_due)
    {
        begin_round(w);
    }
    wake_at(w, w.peers.next_round);
}

} // namespace agateledge
