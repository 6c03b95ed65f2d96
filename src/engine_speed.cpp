#include "engine_speed.hpp"

#include "instance_table.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Half-life of an observation. A fleet of hundreds of daemons makes some
/// observations of each engine a second; an engine's speed rarely changes.
constexpr double half_life_s = 10;

/// Range of one observation; larger deviations come from queues or prompts that
/// the prediction did not know of.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 4;

/// Weight of the assumption that the engine has the estimated speed.
constexpr double prior_weight = 1.5;

/// Relative change of the estimate by which the ranking follows it.
constexpr double rank_step = 1.25;

} // namespace

speed_samples speed_samples::at(instant now) const
{
    auto const factor =
        std::exp2(-std::max(to_seconds(now - as_of), 0.0) / half_life_s);
    return {weight * factor, log_sum * factor, now};
}

void speed_samples::add(double ratio, double sample_weight, instant now)
{
    *this = at(now);
    weight += sample_weight;
    log_sum +=
        sample_weight * std::log(std::clamp(ratio, min_ratio, max_ratio));
}

double engine_speed(instance_state const &instance, instant now)
{
    auto const own = instance.speed.at(now);
    auto const weight = own.weight + instance.peer_speed.weight;
    auto const log_sum = own.log_sum + instance.peer_speed.log_sum;
    return std::exp(log_sum / (weight + prior_weight));
}

void update_rank_speed(instance_state &instance, instant now)
{
    auto const speed = engine_speed(instance, now);
    bool const moved = speed > instance.rank_speed * rank_step ||
                       speed * rank_step < instance.rank_speed;
    if (moved)
    {
        instance.rank_speed = speed;
    }
}

} // namespace agateledge
