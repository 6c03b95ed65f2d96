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

/// Minimum time for which the daemon serves after the shutdown signal: the load
/// balancer checks health once a second and needs two failed checks before it
/// sends connections elsewhere.
constexpr duration min_drain_time = milliseconds(3500);

/// Time without an open request after which the process exits.
constexpr duration idle_exit_time = milliseconds(700);

/// Time before the end of the grace period at which open requests are failed.
constexpr duration exit_margin = milliseconds(600);

void fail_open_requests(world &w)
{
    std::vector<request_number> open;
    for (auto const &[number, request] : w.relay.requests.all())
    {
        open.push_back(number);
    }
    std::ranges::sort(open);
    std::ranges::for_each(
        open, [&w](request_number number)
        { fail_relay(w, number, "the daemon is shutting down"); });
}

} // namespace

void stop_relays(world &w)
{
    auto &relay = w.relay;
    if (w.in.shutdown && !relay.stopping_since)
    {
        relay.stopping_since = w.now;
        relay.last_open_at = w.now;
        w.out.daemon_row_writes.push_back({w.identity.name, true, {}, {}});
        log_relay(w, log_level::info, "stop_begun",
                  {{"open_requests", std::to_string(relay.requests.size())}});
    }
    if (!relay.stopping_since)
    {
        return;
    }
    wake_at(w, w.now + check_interval);
    auto const elapsed = w.now - *relay.stopping_since;
    if (elapsed >= relay.limits.shutdown_grace - exit_margin)
    {
        fail_open_requests(w);
        w.out.stop_ready = true;
        return;
    }
    if (relay.requests.size() != 0)
    {
        relay.last_open_at = w.now;
    }
    w.out.stop_ready = elapsed >= min_drain_time &&
                       w.now - relay.last_open_at >= idle_exit_time;
}

} // namespace agateledge
