#include "predict_engine.hpp"

#include "estimate_load.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Prefill work ahead of a new prompt up to which an engine is sent the prompt.
/// A lower limit leaves engines idle between two dispatches; a higher one moves
/// the queue into the engine, where the daemon's order no longer applies.
constexpr double max_backlog_seconds = 0.25;

/// Fraction of the token interval deadline that a predicted step may take.
constexpr double usable_interval_share = 0.85;

/// Assumed rate of KV cache transfers, since transfers are not measured.
constexpr double transfer_tokens_per_second = 150000;

/// Fraction of an engine's KV memory that predictions may fill; the rest covers
/// errors of the output estimate.
constexpr double usable_kv_share = 0.95;

/// Network latency to engines in this daemon's data centre and in others.
constexpr double same_data_centre_seconds = 0.0005;
constexpr double other_data_centre_seconds = 0.003;

struct phase_input
{
    load_estimate load;
    role_costs const &costs;
    double slowness = 1;
    /// Prompt and answer tokens that must be computed before the next token.
    double uncached_tokens = 0;
    double output_tokens = 0;
};

double step_seconds(phase_input const &in)
{
    return in.slowness *
           (in.costs.step_base + in.costs.step_slope * (in.load.requests + 1));
}

bool has_sequence_capacity(engine_state const &engine,
                           request_state const &request, phase_input const &in)
{
    auto const need = request.arrival.prompt_tokens + in.output_tokens;
    bool const fits =
        in.load.kv_tokens + need <=
        usable_kv_share *
            static_cast<double>(engine.definition.kv_capacity_tokens);
    auto const bound = to_seconds(request.kind.token_interval_deadline);
    // The role's model counts, not the engine's own slowness, which also
    // reflects waits in front of a single engine.
    bool const fast =
        bound <= 0 || step_seconds(in) <= usable_interval_share * bound;
    return fits && fast && in.load.requests + 1 <= in.costs.batch_limit;
}

engine_prediction predict_prefill(world const &w, request_state const &request,
                                  phase_input const &in)
{
    auto const &service = request.kind.service;
    auto const &decode = w.costs.role(service, engine_role::decode);
    auto const step = decode.step_base + decode.step_slope * 32;
    auto const transfer =
        request.arrival.prompt_tokens / transfer_tokens_per_second;
    auto const backlog =
        in.slowness * in.load.prefill_tokens / in.costs.prefill_rate;
    engine_prediction out;
    out.first_token = backlog +
                      in.slowness * in.uncached_tokens / in.costs.prefill_rate +
                      in.slowness * in.costs.step_base + transfer + step;
    out.finish = out.first_token + in.output_tokens * step;
    out.has_capacity = backlog <= max_backlog_seconds;
    return out;
}

engine_prediction predict_prefill_and_decode(engine_state const &engine,
                                             request_state const &request,
                                             phase_input const &in)
{
    auto const step = step_seconds(in);
    auto const backlog =
        in.slowness * in.load.prefill_tokens / in.costs.prefill_rate;
    engine_prediction out;
    out.first_token = backlog +
                      in.slowness * in.uncached_tokens / in.costs.prefill_rate +
                      step;
    out.finish = out.first_token + in.output_tokens * step;
    out.has_capacity = backlog <= max_backlog_seconds &&
                       has_sequence_capacity(engine, request, in);
    return out;
}

engine_prediction predict_decode(engine_state const &engine,
                                 request_state const &request,
                                 phase_input const &in)
{
    auto const step = step_seconds(in);
    engine_prediction out;
    out.first_token =
        request.arrival.prompt_tokens / transfer_tokens_per_second + step;
    out.finish = out.first_token + in.output_tokens * step;
    out.has_capacity = has_sequence_capacity(engine, request, in);
    return out;
}

double network_latency(world const &w, engine_state const &engine)
{
    return engine.definition.data_centre == w.identity.data_centre
               ? same_data_centre_seconds
               : other_data_centre_seconds;
}

double remaining_output(world const &w, request_state const &request)
{
    auto const expected = w.costs.expected_output(
        request.kind.name, request.kind.expected_output_tokens);
    return std::max(1.0, expected - request.delivered_tokens);
}

} // namespace

engine_prediction predict_engine(world const &w, request_state const &request,
                                 engine_index index, double cached_tokens)
{
    auto const &engine = w.engines.at(index);
    auto const role = engine.role();
    auto const cached =
        std::min<double>(cached_tokens, request.arrival.prompt_tokens);
    phase_input const in = {
        estimate_load(w, index), w.costs.role(engine.definition.service, role),
        std::max(1.0, w.costs.engine(index).slowness),
        request.arrival.prompt_tokens + request.delivered_tokens - cached,
        remaining_output(w, request)};
    auto out = !request.kv_key.empty() ? predict_decode(engine, request, in)
               : role == engine_role::prefill
                   ? predict_prefill(w, request, in)
                   : predict_prefill_and_decode(engine, request, in);
    out.first_token += network_latency(w, engine);
    out.finish += network_latency(w, engine);
    return out;
}

double idle_first_token_seconds(world const &w, request_state const &request)
{
    auto const &service = request.kind.service;
    auto const &prefill = w.costs.role(service, engine_role::prefill);
    auto const &decode = w.costs.role(service, engine_role::decode);
    auto const uncached =
        request.kv_key.empty() ? request.arrival.prompt_tokens : 0;
    return uncached / prefill.prefill_rate + decode.step_base;
}

} // namespace agateledge
