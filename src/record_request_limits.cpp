#include "record_request_limits.hpp"

#include "log_proxied_request.hpp"
#include "world.hpp"

#include <algorithm>
#include <string>

namespace agateledge
{

namespace
{

void record_head(world &w, proxy_event const &event)
{
    auto const *attempt = w.proxy.requests.find(event.attempt);
    if (attempt == nullptr || event.kind != proxy_event_kind::head ||
        event.head->wrong_instance || event.head->mismatched_attempt)
    {
        return;
    }
    auto const daemons = w.proxy.effective_fleet_size();
    auto const limit = event.head->request_limit;
    bool const changed = w.proxy.request_limits.apply(
        {attempt->incarnation, limit, attempt->sent_at, w.now}, daemons,
        w.random.uniform());
    if (!changed)
    {
        return;
    }
    w.proxy.metrics.request_limits += limit ? 1 : 0;
    log_proxied_request(
        w, log_level::info,
        limit ? "instance_named_limit" : "instance_limit_ended",
        {{"instance", attempt->instance},
         {"address", attempt->incarnation.address},
         {"requests_per_s", limit ? std::to_string(*limit) : ""},
         {"daemons", std::to_string(w.proxy.daemons.size())}});
}

} // namespace

void record_request_limits(world &w)
{
    std::ranges::for_each(w.in.proxy_events, [&w](proxy_event const &event)
                          { record_head(w, event); });
}

} // namespace agateledge
