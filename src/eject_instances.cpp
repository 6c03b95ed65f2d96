#include "eject_instances.hpp"

#include "log_proxied_request.hpp"
#include "world.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace agateledge
{

namespace
{

constexpr duration check_period = milliseconds(100);

/// Failures, weighted by age, below which an instance is not ejected.
constexpr double min_failures = 1.5;

/// Difference to the failure rate of the rest of the service above which an
/// instance is ejected.
constexpr double failure_rate_margin = 0.25;

/// Duration of the first ejection and the upper limit; it doubles each time.
constexpr duration first_ejection_time = seconds(1);
constexpr duration max_ejection_time = seconds(4);

struct service_health
{
    call_results results;
    int instances = 0;
    int ejected = 0;
};

std::map<std::string, service_health> sum_by_service(world const &w)
{
    std::map<std::string, service_health> out;
    for (auto const &[id, instance] : w.proxy.instances.all())
    {
        auto const results = instance.health.results_at(w.now);
        auto &sum = out[instance.definition.service];
        sum.results.succeeded += results.succeeded;
        sum.results.failed += results.failed;
        ++sum.instances;
        sum.ejected += instance.health.ejected_until > w.now ? 1 : 0;
    }
    return out;
}

void eject_if_failing(world &w, instance_state &instance, service_health &sum)
{
    auto &health = instance.health;
    auto const instance_results = health.results_at(w.now);
    call_results const others{sum.results.succeeded -
                                  instance_results.succeeded,
                              sum.results.failed - instance_results.failed};
    bool const is_failing = instance_results.failed >= min_failures &&
                            instance_results.failed_share() >
                                others.failed_share() + failure_rate_margin;
    bool const limit_kept = (sum.ejected + 1) * 2 <= sum.instances;
    if (!is_failing || health.ejected_until > w.now || !limit_kept)
    {
        return;
    }
    health.ejection_time =
        std::clamp(health.ejection_time * 2, duration(first_ejection_time),
                   duration(max_ejection_time));
    health.ejected_until = w.now + health.ejection_time;
    ++sum.ejected;
    log_proxied_request(
        w, log_level::warning, "instance_avoided",
        {{"instance", instance.definition.id},
         {"service", instance.definition.service},
         {"failed", std::to_string(instance_results.failed)},
         {"succeeded", std::to_string(instance_results.succeeded)},
         {"pause_ms", milliseconds_text(health.ejection_time)}});
    // Only calls after the ejection count for the next one.
    health.results = {};
}

} // namespace

void eject_instances(world &w)
{
    auto &proxy = w.proxy;
    bool const any_event = !w.in.proxy_events.empty();
    if (!any_event || proxy.next_health_check > w.now)
    {
        return;
    }
    proxy.next_health_check = w.now + check_period;
    auto sums = sum_by_service(w);
    for (auto &[id, instance] : proxy.instances.all())
    {
        eject_if_failing(w, instance, sums[instance.definition.service]);
    }
}

} // namespace agateledge
