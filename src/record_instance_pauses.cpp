#include "record_instance_pauses.hpp"

#include "log_proxied_request.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr int http_unavailable = 503;

void record_head(world &w, proxy_event const &event)
{
    auto const *attempt = w.proxy.requests.find(event.attempt);
    bool const asks_for_pause = event.kind == proxy_event_kind::head &&
                                event.head->status == http_unavailable &&
                                event.head->retry_after;
    if (attempt == nullptr || !asks_for_pause)
    {
        return;
    }
    bool const added = w.proxy.paused_instances.extend(
        attempt->incarnation, w.now + *event.head->retry_after);
    if (!added)
    {
        return;
    }
    ++w.proxy.metrics.instance_pauses;
    log_proxied_request(
        w, log_level::info, "instance_asked_for_pause",
        {{"instance", attempt->instance},
         {"address", attempt->incarnation.address},
         {"pause_ms", milliseconds_text(*event.head->retry_after)}});
}

} // namespace

void record_instance_pauses(world &w)
{
    w.proxy.paused_instances.expire(w.now);
    std::ranges::for_each(w.in.proxy_events, [&w](proxy_event const &event)
                          { record_head(w, event); });
}

} // namespace agateledge
