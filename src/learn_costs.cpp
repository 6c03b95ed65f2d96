#include "learn_costs.hpp"

#include "estimate_load.hpp"
#include "world.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// A step sample covers this many tokens or this time, whichever ends first.
constexpr int sample_tokens = 16;
constexpr duration sample_time = milliseconds(250);

/// Weight of a new step sample.
constexpr double step_weight = 0.002;

/// Samples are clamped to this factor around the estimate, so that outliers and
/// degraded engines do not distort the role's model.
constexpr double outlier_factor = 1.5;
/// Largest ratio of observed to predicted time that a sample counts with.
constexpr double max_slowness_ratio = 12.0;
constexpr double slowness_weight = 0.25;
constexpr double prefill_weight = 0.05;
constexpr double output_weight = 0.03;

/// Smallest prefill work that is sampled. The time for less work depends more
/// on the step time than on the prefill rate.
constexpr double min_prefill_sample_tokens = 400;

/// History of the local load that is kept to match reports of up to this age.
constexpr duration max_report_age = seconds(10);

void learn_slowness(world &w, engine_index index, double ratio)
{
    auto &costs = w.costs.engine(index);
    auto const clipped =
        std::clamp(ratio, 1 / max_slowness_ratio, max_slowness_ratio);
    auto const mean = std::log(costs.slowness) * (1 - slowness_weight) +
                      std::log(clipped) * slowness_weight;
    costs.slowness = std::exp(mean);
    ++costs.samples;
    costs.last_sample_at = w.now;
}

/// Fits step time against batch size by weighted least squares. Neither slope
/// nor base may become negative: while the batch size hardly varies, the slope
/// is mostly noise.
void fit_step(role_costs &role)
{
    auto const variance = role.mean_nn - role.mean_n * role.mean_n;
    auto const covariance = role.mean_n_step - role.mean_n * role.mean_step;
    auto const max_slope = role.mean_step / std::max(1.0, role.mean_n);
    role.step_slope =
        std::clamp(covariance / std::max(1.0, variance), 0.0, max_slope);
    role.step_base = role.mean_step - role.step_slope * role.mean_n;
}

void learn_step(role_costs &role, double sequences, double seconds)
{
    auto const predicted = role.step_base + role.step_slope * sequences;
    auto const observed = std::clamp(seconds, predicted / outlier_factor,
                                     predicted * outlier_factor);
    role.mean_n += step_weight * (sequences - role.mean_n);
    role.mean_step += step_weight * (observed - role.mean_step);
    role.mean_nn += step_weight * (sequences * sequences - role.mean_nn);
    role.mean_n_step += step_weight * (sequences * observed - role.mean_n_step);
    fit_step(role);
    ++role.step_samples;
}

void sample_step(world &w, attempt_state &attempt, engine_event const &event)
{
    auto const tokens = event.offset + event.tokens - attempt.sample_offset;
    auto const elapsed = w.now - attempt.sample_begun_at;
    bool const due = tokens >= sample_tokens || elapsed >= sample_time;
    if (!due || tokens <= 0)
    {
        return;
    }
    auto const &engine = w.engines.at(*attempt.engine);
    auto &role = w.costs.role(engine.definition.service, engine.role());
    auto const step = to_seconds(elapsed) / tokens;
    auto const sequences = estimate_load(w, *attempt.engine).requests;
    auto const predicted = role.step_base + role.step_slope * sequences;
    learn_slowness(w, *attempt.engine, step / predicted);
    learn_step(role, sequences, step);
    attempt.sample_offset = event.offset + event.tokens;
    attempt.sample_begun_at = w.now;
}

void learn_cache_hits(world &w, attempt_state const &attempt,
                      engine_event const &event)
{
    auto const *request = w.requests.find(attempt.request);
    auto const prompt = request->arrival.prompt_tokens;
    if (prompt > 0)
    {
        constexpr double weight = 0.05;
        auto &share = w.costs.engine(*attempt.engine).prefix_hit_ratio;
        share += weight *
                 (static_cast<double>(event.cached_tokens) / prompt - share);
    }
}

/// Updates the prefill rate at the end of a prompt's computation.
void sample_prefill(world &w, attempt_state const &attempt,
                    engine_event const &event)
{
    auto const &engine = w.engines.at(*attempt.engine);
    auto &role = w.costs.role(engine.definition.service, engine.role());
    auto const *request = w.requests.find(attempt.request);
    learn_cache_hits(w, attempt, event);
    auto const uncached = request->arrival.prompt_tokens - event.cached_tokens;
    auto const work = attempt.backlog_tokens + std::max(0, uncached);
    auto const elapsed = to_seconds(w.now - attempt.started_at);
    if (attempt.counted_prefill_tokens == 0 ||
        work < min_prefill_sample_tokens || elapsed <= role.step_base)
    {
        return;
    }
    auto const rate = work / elapsed;
    learn_slowness(w, *attempt.engine, role.prefill_rate / rate);
    auto const change = std::clamp(rate / role.prefill_rate, 1 / outlier_factor,
                                   outlier_factor);
    role.prefill_rate *= std::pow(change, prefill_weight);
    ++role.prefill_samples;
}

void learn_output(world &w, attempt_state const &attempt, int tokens)
{
    auto const *request = w.requests.find(attempt.request);
    auto &estimate = w.costs.output(request->kind.name);
    if (estimate.samples++ == 0)
    {
        estimate.mean_tokens = request->kind.expected_output_tokens;
    }
    auto const error = tokens - estimate.mean_tokens;
    estimate.mean_error +=
        output_weight * (std::abs(error) - estimate.mean_error);
    estimate.mean_tokens += output_weight * error;
}

void learn_from_event(world &w, engine_event const &event)
{
    auto *attempt = w.attempts.find(event.attempt);
    if (attempt == nullptr || !attempt->engine)
    {
        return;
    }
    if (event.kind == engine_event_kind::prefilled)
    {
        sample_prefill(w, *attempt, event);
    }
    else if (event.kind == engine_event_kind::finished)
    {
        learn_output(w, *attempt, event.offset);
    }
    else if (event.kind == engine_event_kind::chunk &&
             attempt->sample_offset < 0)
    {
        sample_prefill(w, *attempt, event);
        attempt->sample_offset = event.offset + event.tokens;
        attempt->sample_begun_at = w.now;
    }
    else if (event.kind == engine_event_kind::chunk)
    {
        sample_step(w, *attempt, event);
    }
}

/// The batch limit follows the batch sizes of engines that have a queue. It is
/// raised in small steps while engines run full batches without a queue.
void learn_batch(role_costs &role, load_report const &report)
{
    constexpr double weight = 0.05;
    constexpr double increment = 0.1;
    constexpr int max_idle_queue = 2;
    if (report.waiting > max_idle_queue && report.running > 0)
    {
        role.batch_limit += weight * (report.running - role.batch_limit);
    }
    else if (report.running >= role.batch_limit - 1)
    {
        role.batch_limit =
            std::max<double>(report.running, role.batch_limit + increment);
    }
}

void learn_from_report(world &w, load_report const &report)
{
    auto const index = w.engines.find(report.engine);
    if (!index)
    {
        return;
    }
    auto const &engine = w.engines.at(*index);
    auto &history = w.costs.engine(*index).history;
    history.push_back({w.now, engine.local_requests,
                       engine.local_prefill_tokens, engine.local_kv_tokens});
    while (history.front().at + max_report_age < w.now)
    {
        history.pop_front();
    }
    if (!report.ready || report.role == engine_role::prefill)
    {
        return;
    }
    learn_batch(w.costs.role(engine.definition.service, report.role), report);
}

void learn_peer_load(world &w, load_report const &report)
{
    constexpr double weight = 0.02;
    auto const index = w.engines.find(report.engine);
    if (!index)
    {
        return;
    }
    auto const &engine = w.engines.at(*index);
    auto &role = w.costs.role(engine.definition.service, engine.role());
    auto const peer_load = reported_peer_load(w, *index);
    role.mean_peer_requests +=
        weight * (peer_load.requests - role.mean_peer_requests);
    role.mean_peer_prefill_tokens +=
        weight * (peer_load.prefill_tokens - role.mean_peer_prefill_tokens);
}

} // namespace

void learn_costs(world &w)
{
    for (auto const &report : w.in.load_reports)
    {
        learn_from_report(w, report);
        learn_peer_load(w, report);
    }
    std::ranges::for_each(w.in.engine_events, [&w](engine_event const &event)
                          { learn_from_event(w, event); });
}

} // namespace agateledge
