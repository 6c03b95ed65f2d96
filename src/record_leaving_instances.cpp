#include "record_leaving_instances.hpp"

#include "log_proxied_request.hpp"
#include "world.hpp"

#include <algorithm>
#include <string>

namespace agateledge
{

namespace
{

/// Time for which an announcement is kept after the incarnation was last
/// listed. A leaving instance may run on for minutes, and its entry may
/// reappear after an outage of the store.
constexpr duration retention = minutes(10);

constexpr duration check_interval = minutes(1);

void record_head(world &w, proxy_event const &event)
{
    auto const *attempt = w.proxy.requests.find(event.attempt);
    bool const leaves = event.kind == proxy_event_kind::head &&
                        event.head->instance_leaves &&
                        !event.head->wrong_instance;
    if (attempt == nullptr || !leaves)
    {
        return;
    }
    if (!record_leave(w, attempt->incarnation))
    {
        return;
    }
    ++w.proxy.metrics.leave_announcements;
    log_proxied_request(w, log_level::info, "instance_announced_leaving",
                        {{"instance", attempt->instance},
                         {"address", attempt->incarnation.address},
                         {"status", std::to_string(event.head->status)}});
}

/// @return true while the directory lists the incarnation. Without a known
///         start, a restarted instance cannot be told from the one that left.
bool is_listed(world const &w, instance_incarnation const &incarnation)
{
    auto const *listed = w.proxy.instances.find(incarnation.id);
    return listed != nullptr && incarnation.started_at_ms != 0 &&
           listed->definition.started_at_ms == incarnation.started_at_ms;
}

void expire_records(world &w)
{
    auto &proxy = w.proxy;
    if (w.now < proxy.next_leaving_check)
    {
        return;
    }
    proxy.next_leaving_check = w.now + check_interval;
    proxy.leaving_instances.extend_if(
        [&w](instance_incarnation const &incarnation)
        { return is_listed(w, incarnation); },
        w.now + retention);
    proxy.leaving_instances.expire(w.now);
}

} // namespace

bool record_leave(world &w, instance_incarnation const &incarnation)
{
    return w.proxy.leaving_instances.extend(incarnation, w.now + retention);
}

void record_leaving_instances(world &w)
{
    std::ranges::for_each(w.in.proxy_events, [&w](proxy_event const &event)
                          { record_head(w, event); });
    expire_records(w);
}

} // namespace agateledge
