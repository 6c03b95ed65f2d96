#include "judge_instances.hpp"

#include "log_relay.hpp"
#include "world.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace agateledge
{

namespace
{

constexpr duration judgement_interval = milliseconds(100);

/// Failures, weighted by age, below which an instance is not judged.
constexpr double least_failures = 1.5;

/// Share of failures by which an instance exceeds the rest of its service.
constexpr double excess_share = 0.25;

/// Pauses of an instance; the first is doubled with each further one.
constexpr duration first_pause = seconds(1);
constexpr duration longest_pause = seconds(4);

struct service_health
{
    call_results results;
    int instances = 0;
    int avoided = 0;
};

std::map<std::string, service_health> sum_by_service(world const &w)
{
    std::map<std::string, service_health> out;
    for (auto const &[id, instance] : w.relay.instances.all())
    {
        auto const results = instance.health.results_at(w.now);
        auto &sum = out[instance.definition.service];
        sum.results.succeeded += results.succeeded;
        sum.results.failed += results.failed;
        ++sum.instances;
        sum.avoided += instance.health.avoided_until > w.now ? 1 : 0;
    }
    return out;
}

void judge(world &w, instance_state &instance, service_health &sum)
{
    auto &health = instance.health;
    auto const own = health.results_at(w.now);
    call_results const others{sum.results.succeeded - own.succeeded,
                              sum.results.failed - own.failed};
    bool const bad = own.failed >= least_failures &&
                     own.failed_share() > others.failed_share() + excess_share;
    bool const most_left = (sum.avoided + 1) * 2 <= sum.instances;
    if (!bad || health.avoided_until > w.now || !most_left)
    {
        return;
    }
    health.next_pause = std::clamp(health.next_pause * 2, duration(first_pause),
                                   duration(longest_pause));
    health.avoided_until = w.now + health.next_pause;
    ++sum.avoided;
    log_relay(w, log_level::warning, "instance_avoided",
              {{"instance", instance.definition.id},
               {"service", instance.definition.service},
               {"failed", std::to_string(own.failed)},
               {"succeeded", std::to_string(own.succeeded)},
               {"pause_ms", milliseconds_text(health.next_pause)}});
    // Judged anew, by what its next calls show.
    health.results = {};
}

} // namespace

void judge_instances(world &w)
{
    auto &relay = w.relay;
    bool const changed = !w.in.relay_events.empty();
    if (!changed || relay.next_judgement > w.now)
    {
        return;
    }
    relay.next_judgement = w.now + judgement_interval;
    auto sums = sum_by_service(w);
    for (auto &[id, instance] : relay.instances.all())
    {
        judge(w, instance, sums[instance.definition.service]);
    }
}

} // namespace agateledge
