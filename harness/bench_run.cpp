#include "bench_run.hpp"

#include <cmath>
#include <utility>

namespace agateledge
{

namespace
{

/// Requests that arrive in this time aren't scored, since the cost estimates of
/// a new daemon have not converged.
constexpr duration warm_up = seconds(10);
constexpr duration max_completion_wait = seconds(60);
constexpr double bookings_per_second = 2;
constexpr std::uint64_t first_booking_number = 1ULL << 40U;

double exponential(random_source &random, double rate)
{
    return -std::log(1 - random.uniform()) / rate;
}

} // namespace

bench_run::bench_run(workload const &load, bench_scenario scenario,
                     std::uint64_t seed)
    : load_(load), scenario_(std::move(scenario)), source_(load, seed),
      random_(seed ^ 0x5bd1e995U),
      deployment_(load.config, load.daemons, seed + 17), orders_(deployment_),
      scores_(load.config)
{
    deployment_.delays().between_data_centres = load.between_data_centres;
    deployment_.delays().load_report_lag = scenario_.report_lag;
    deployment_.output_tokens = [this](engine_call const &call)
    { return output_tokens(call.seed); };
    deployment_.on_reply = [this](std::size_t, caller_reply const &reply)
    { scores_.record(reply, deployment_.now()); };
    for (auto &daemon : deployment_.daemons())
    {
        daemon.state->hooks.live_daemons =
            static_cast<int>(load.daemons.size());
        daemon.state->hooks.order =
            [this](world & /*w*/, engine_order const &order)
        { return orders_.apply(order); };
    }
}

int bench_run::output_tokens(std::uint64_t request_seed) const
{
    return lengths_.at(request_seed);
}

bool bench_run::is_scored(instant when) const
{
    return when >= instant(warm_up);
}

void bench_run::plan_arrival(instant when)
{
    if (when < instant(scenario_.length))
    {
        deployment_.at(when, [this] { submit_model_request(); });
    }
}

void bench_run::submit_model_request()
{
    auto const now = deployment_.now();
    auto const second = to_seconds(now.time_since_epoch());
    auto const share = scenario_.prompt_share(second);
    auto request = source_.next(share);
    lengths_[request.arrival.seed] = request.output_tokens;
    if (is_scored(now))
    {
        scores_.expect(request.arrival.request, request.arrival.class_name,
                       now);
    }
    auto const daemon = random_.below(deployment_.daemons().size());
    deployment_.submit(daemon, std::move(request.arrival));
    auto const rate =
        source_.rate_for(scenario_.load(second) * load_.capacity, share);
    plan_arrival(now + from_seconds(exponential(random_, rate)));
}

void bench_run::plan_booking(instant when)
{
    if (when < instant(scenario_.length))
    {
        deployment_.at(when, [this] { submit_booking(); });
    }
}

void bench_run::submit_booking()
{
    auto const now = deployment_.now();
    bool const is_booking = random_.below(2) == 0;
    request_arrival arrival;
    arrival.request = request_number(first_booking_number + ++last_booking_);
    arrival.caller = "caller-1";
    arrival.service = "desk";
    arrival.class_name = is_booking ? "booking" : "booking-status";
    arrival.method = is_booking ? "POST" : "GET";
    arrival.path = "/bookings";
    arrival.idempotent = !is_booking;
    arrival.idempotency_key = "key-" + std::to_string(last_booking_);
    arrival.body = std::make_shared<std::string const>("{}");
    if (is_scored(now))
    {
        scores_.expect(arrival.request, arrival.class_name, now);
    }
    auto const daemon = random_.below(deployment_.daemons().size());
    deployment_.submit(daemon, std::move(arrival));
    plan_booking(now + from_seconds(exponential(random_, bookings_per_second)));
}

void bench_run::break_streams(std::string const &name, bool only_remote)
{
    auto &engine = deployment_.engines().at(name);
    for (auto reader = engine.readers.begin(); reader != engine.readers.end();)
    {
        auto const [origin, attempt] = reader->second;
        auto &state = *deployment_.daemons()[origin.daemon].state;
        if (only_remote && state.identity.data_centre == engine.data_centre)
        {
            ++reader;
            continue;
        }
        engine_event event;
        event.attempt = attempt;
        event.kind = engine_event_kind::failed_after_send;
        state.in.engine_events.push_back(event);
        engine.model->cancel(reader->first);
        reader = engine.readers.erase(reader);
    }
}

void bench_run::plan_faults()
{
    auto const name = load_.config.engines.back().name;
    auto const data_centre = load_.config.engines.back().data_centre;
    auto const begin = instant(scenario_.fault_begin);
    auto const end = instant(scenario_.fault_end);
    auto &engines = deployment_.engines();
    switch (scenario_.fault)
    {
    case scenario_fault::none:
        return;
    case scenario_fault::engine_withdrawn:
        // The engine is removed permanently, in the middle of the load burst.
        deployment_.at(begin + seconds(10),
                       [this, &engines, name]
                       {
                           engines.at(name).reachable = false;
                           break_streams(name, false);
                       });
        return;
    case scenario_fault::data_centre_cut:
        deployment_.at(begin,
                       [this, &engines, data_centre]
                       {
                           deployment_.isolated().insert(data_centre);
                           for (auto const &[engine, state] : engines)
                           {
                               bool const inside =
                                   state.data_centre == data_centre;
                               break_streams(engine, inside);
                           }
                       });
        deployment_.at(end, [this] { deployment_.isolated().clear(); });
        return;
    case scenario_fault::engine_grey:
        deployment_.at(begin, [&engines, name]
                       { engines.at(name).model->options().speed = 0.1; });
        deployment_.at(end, [&engines, name]
                       { engines.at(name).model->options().speed = 1.0; });
        return;
    }
}

bench_score bench_run::run()
{
    plan_faults();
    plan_arrival(instant(milliseconds(1)));
    plan_booking(instant(milliseconds(2)));
    auto const end = instant(scenario_.length);
    deployment_.run_until(end);
    while (scores_.open() > 0 && deployment_.now() < end + max_completion_wait)
    {
        deployment_.run_until(deployment_.now() + seconds(1));
    }
    auto score = scores_.total(to_seconds(scenario_.length - warm_up));
    score.role_changes = orders_.changes();
    score.seconds_away = to_seconds(orders_.time_unavailable());
    for (auto const &[name, engine] : deployment_.engines())
    {
        score.prefilled_tokens += engine.model->prefilled_tokens();
        score.cached_tokens += engine.model->cached_prompt_tokens();
        score.generated_tokens += engine.model->generated_tokens();
    }
    record_learned_costs(score);
    return score;
}

void bench_run::record_learned_costs(bench_score &score)
{
    auto &state = *deployment_.daemons().front().state;
    for (auto const role :
         {engine_role::mixed, engine_role::prefill, engine_role::decode})
    {
        auto const name = std::string(name_of(role));
        auto const &costs = state.costs.role("assistant", role);
        score.learned[name + "_step_base_s"] = costs.step_base;
        score.learned[name + "_step_slope_s"] = costs.step_slope;
        score.learned[name + "_prefill_tokens_per_s"] = costs.prefill_rate;
        score.learned[name + "_batch_limit"] = costs.batch_limit;
    }
    for (auto const &item : load_.classes)
    {
        auto const &estimate = state.costs.output(item.class_name);
        score.learned[item.class_name + "_output_mean"] = estimate.mean_tokens;
        score.learned[item.class_name + "_output_error"] = estimate.mean_error;
    }
}

} // namespace agateledge
