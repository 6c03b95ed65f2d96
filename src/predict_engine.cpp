#include "predict_engine.hpp"

#include "estimate_load.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Prefill work ahead of a new prompt, in seconds, up to which an engine takes
/// it. Less leaves engines idle between two dispatches; more moves the order of
/// the queue from the daemon to the engine.
constexpr double max_backlog_seconds = 0.25;

/// Share of the token interval deadline that a batch may use.
constexpr double interval_share = 0.85;

/// KV cache tokens moved in a second, until transfers are measured.
constexpr double transfer_rate = 150000;

/// Share of an engine's KV memory that is planned; the rest covers the error of
/// the output estimate.
constexpr double kv_share = 0.95;

constexpr double same_place_seconds = 0.0005;
constexpr double other_place_seconds = 0.003;

struct phase_input
{
    load_estimate load;
    role_costs const &costs;
    double slowness = 1;
    /// Tokens of prompt and answer that must be computed before the next one.
    double work = 0;
    double output = 0;
};

double step_of(phase_input const &in)
{
    return in.slowness *
           (in.costs.step_base + in.costs.step_slope * (in.load.requests + 1));
}

bool has_sequence_room(engine_state const &engine, request_state const &request,
                       phase_input const &in)
{
    auto const need = request.arrival.prompt_tokens + in.output;
    bool const fits =
        in.load.kv_tokens + need <=
        kv_share * static_cast<double>(engine.definition.kv_capacity_tokens);
    auto const bound = to_seconds(request.kind.token_interval_deadline);
    // The role's model counts, not the engine's own slowness, which also
    // reflects waits in front of a single engine.
    bool const fast = bound <= 0 || step_of(in) <= interval_share * bound;
    return fits && fast && in.load.requests + 1 <= in.costs.batch_limit;
}

engine_prediction predict_prefill(world const &w, request_state const &request,
                                  phase_input const &in)
{
    auto const &service = request.kind.service;
    auto const &decode = w.costs.role(service, engine_role::decode);
    auto const step = decode.step_base + decode.step_slope * 32;
    auto const transfer = request.arrival.prompt_tokens / transfer_rate;
    auto const backlog =
        in.slowness * in.load.prefill_tokens / in.costs.prefill_rate;
    engine_prediction out;
    out.first_token = backlog + in.slowness * in.work / in.costs.prefill_rate +
                      in.slowness * in.costs.step_base + transfer + step;
    out.finish = out.first_token + in.output * step;
    out.room = backlog <= max_backlog_seconds;
    return out;
}

engine_prediction predict_whole(engine_state const &engine,
                                request_state const &request,
                                phase_input const &in)
{
    auto const step = step_of(in);
    auto const backlog =
        in.slowness * in.load.prefill_tokens / in.costs.prefill_rate;
    engine_prediction out;
    out.first_token =
        backlog + in.slowness * in.work / in.costs.prefill_rate + step;
    out.finish = out.first_token + in.output * step;
    out.room = backlog <= max_backlog_seconds &&
               has_sequence_room(engine, request, in);
    return out;
}

engine_prediction predict_decode(engine_state const &engine,
                                 request_state const &request,
                                 phase_input const &in)
{
    auto const step = step_of(in);
    engine_prediction out;
    out.first_token = request.arrival.prompt_tokens / transfer_rate + step;
    out.finish = out.first_token + in.output * step;
    out.room = has_sequence_room(engine, request, in);
    return out;
}

double distance(world const &w, engine_state const &engine)
{
    return engine.definition.data_centre == w.identity.data_centre
               ? same_place_seconds
               : other_place_seconds;
}

double output_left(world const &w, request_state const &request)
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
    auto const known =
        std::min<double>(cached_tokens, request.arrival.prompt_tokens);
    phase_input const in = {
        estimate_load(w, index), w.costs.role(engine.definition.service, role),
        std::max(1.0, w.costs.engine(index).slowness),
        request.arrival.prompt_tokens + request.delivered_tokens - known,
        output_left(w, request)};
    auto out = !request.kv_key.empty() ? predict_decode(engine, request, in)
               : role == engine_role::prefill
                   ? predict_prefill(w, request, in)
                   : predict_whole(engine, request, in);
    out.first_token += distance(w, engine);
    out.finish += distance(w, engine);
    return out;
}

double best_first_token(world const &w, request_state const &request)
{
    auto const &service = request.kind.service;
    auto const &prefill = w.costs.role(service, engine_role::prefill);
    auto const &decode = w.costs.role(service, engine_role::decode);
    auto const left =
        request.kv_key.empty() ? request.arrival.prompt_tokens : 0;
    return left / prefill.prefill_rate + decode.step_base;
}

} // namespace agateledge
