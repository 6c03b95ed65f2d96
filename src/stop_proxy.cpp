#include "stop_proxy.hpp"

#include "log_proxied_request.hpp"
#include "proxy_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <vector>

namespace agateledge
{

namespace
{

/// Time after the shutdown signal during which requests are still admitted and
/// sent to instances. Later ones might not finish before the process is killed.
constexpr duration shutdown_admission_time = seconds(3);

/// Maximum Retry-After time of requests that are refused during shutdown.
constexpr duration stopping_retry_after = milliseconds(200);

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
    for (auto const &[number, request] : w.proxy.requests.all())
    {
        open.push_back(number);
    }
    std::ranges::sort(open);
    std::ranges::for_each(
        open, [&w](request_number number)
        { fail_proxied_request(w, number, "the daemon is shutting down"); });
}

} // namespace

bool admission_closed(world const &w)
{
    auto const &since = w.proxy.stopping_since;
    return since && w.now - *since > shutdown_admission_time;
}

void refuse_while_stopping(world &w, request_number number)
{
    refuse_proxied_request(w, number, result_code::daemon_draining,
                           "the daemon is shutting down",
                           spread_retry_after(w, stopping_retry_after));
}

void stop_proxy(world &w)
{
    auto &proxy = w.proxy;
    if (w.in.shutdown && !proxy.stopping_since)
    {
        proxy.stopping_since = w.now;
        proxy.last_open_at = w.now;
        w.out.daemon_row_writes.push_back({w.identity.name, true, {}, {}});
        log_proxied_request(
            w, log_level::info, "stop_begun",
            {{"open_requests", std::to_string(proxy.requests.size())}});
    }
    if (!proxy.stopping_since)
    {
        return;
    }
    wake_at(w, w.now + check_interval);
    auto const elapsed = w.now - *proxy.stopping_since;
    if (elapsed >= proxy.limits.shutdown_grace - exit_margin)
    {
        fail_open_requests(w);
        w.out.shutdown_complete = true;
        return;
    }
    if (proxy.requests.size() != 0)
    {
        proxy.last_open_at = w.now;
    }
    w.out.shutdown_complete = elapsed >= min_drain_time &&
                              w.now - proxy.last_open_at >= idle_exit_time;
}

} // namespace agateledge
