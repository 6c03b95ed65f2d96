#include "stop_relays.hpp"

#include "log_relay.hpp"
#include "relay_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <vector>

namespace agateledge
{

namespace
{

constexpr duration check_interval = milliseconds(50);

/// Time for which a stopping daemon serves at least: the balancer asks once a
/// second and needs two failures to send connections elsewhere.
constexpr duration shortest_service = milliseconds(3500);

/// Time without an open request before the exit.
constexpr duration quiet_time = milliseconds(700);

/// Time before the forced end at which open requests are given up.
constexpr duration exit_margin = milliseconds(600);

void give_up_open(world &w)
{
    std::vector<request_number> open;
    for (auto const &[number, request] : w.relay.requests.all())
    {
        open.push_back(number);
    }
    std::ranges::sort(open);
    std::ranges::for_each(open, [&w](request_number number)
                          { fail_relay(w, number, "the daemon stops"); });
}

} // namespace

void stop_relays(world &w)
{
    auto &relay = w.relay;
    if (w.in.shutdown && !relay.stopping_since)
    {
        relay.stopping_since = w.now;
        relay.last_open = w.now;
        w.out.daemon_row_writes.push_back({w.identity.name, true, {}, {}});
        log_relay(w, log_level::info, "stop_begun",
                  {{"open_requests", std::to_string(relay.requests.size())}});
    }
    if (!relay.stopping_since)
    {
        return;
    }
    wake_at(w, w.now + check_interval);
    auto const stopping = w.now - *relay.stopping_since;
    if (stopping >= relay.limits.shutdown_grace - exit_margin)
    {
        give_up_open(w);
        w.out.stop_ready = true;
        return;
    }
    if (relay.requests.size() != 0)
    {
        relay.last_open = w.now;
    }
    w.out.stop_ready =
        stopping >= shortest_service && w.now - relay.last_open >= quiet_time;
}

} // namespace agateledge
