#include "judge_instances.hpp"

#include "log_relay.hpp"
#include "world.hpp"

#include <algorithm>
#include <cmath>
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

/// Time in which the weight of past results halves; as in the counting.
constexpr double health_half_life_s = 4;

struct service_health
{
    double succeeded = 0;
    double failed = 0;
    int instances = 0;
    int avoided = 0;
};

double kept(world const &w, instance_health const &health)
{
    return std::exp2(-to_seconds(w.now - health.decayed_at) /
                     health_half_life_s);
}

std::map<std::string, service_health> sum_by_service(world const &w)
{
    std::map<std::string, service_health> out;
    for (auto const &[id, instance] : w.relay.instances.all())
    {
        auto const &health = instance.health;
        auto &sum = out[instance.definition.service];
        sum.succeeded += health.succeeded * kept(w, health);
        sum.failed += health.failed * kept(w, health);
        ++sum.instances;
        sum.avoided += health.avoided_until > w.now ? 1 : 0;
    }
    return out;
}

double share(double failed, double succeeded)
{
    auto const total = failed + succeeded;
    return total > 0 ? failed / total : 0;
}

void judge(world &w, instance_state &instance, service_health &sum)
{
    auto &health = instance.health;
    auto const failed = health.failed * kept(w, health);
    auto const succeeded = health.succeeded * kept(w, health);
    bool const bad = failed >= least_failures &&
                     share(failed, succeeded) >
                         share(sum.failed - failed, sum.succeeded - succeeded) +
                             excess_share;
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
               {"failed", std::to_string(failed)},
               {"succeeded", std::to_string(succeeded)},
               {"pause_ms", milliseconds_text(health.next_pause)}});
    // Judged anew, by what its next calls show.
    health.failed = 0;
    health.succeeded = 0;
}

} // namespace

void judge_instances(world &w)
{
    auto &relay = w.relay;
    bool const changed = !w.in.relay_events.empty();
    if (!relay.enabled || !changed || relay.next_judgement > w.now)
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
