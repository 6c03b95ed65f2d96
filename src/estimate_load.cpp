#include "estimate_load.hpp"

#include "world.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Time constant of the exponential decay of a report's weight: the age at
/// which it has lost about two thirds.
constexpr double report_decay_seconds = 2.0;

local_load local_load_at(engine_costs const &costs, instant when)
{
    local_load out;
    for (auto const &entry : costs.history)
    {
        if (entry.at > when)
        {
            break;
        }
        out = entry;
    }
    return out;
}

} // namespace

load_estimate reported_peer_load(world const &w, engine_index index)
{
    auto const &engine = w.engines.at(index);
    if (!engine.report)
    {
        return {};
    }
    auto const &report = *engine.report;
    auto const local =
        local_load_at(w.costs.engine(index), engine.report_measured_at);
    load_estimate out;
    out.requests =
        std::max(0, report.running + report.waiting - local.requests);
    out.prefill_tokens =
        std::max(0, report.waiting_prefill_tokens - local.prefill_tokens);
    out.kv_tokens = static_cast<double>(
        std::max<std::int64_t>(0, report.kv_tokens_used - local.kv_tokens));
    return out;
}

load_estimate estimate_load(world const &w, engine_index index)
{
    auto const &engine = w.engines.at(index);
    auto const &role = w.costs.role(engine.definition.service, engine.role());
    auto const age = to_seconds(w.now - engine.report_measured_at);
    auto const report_weight =
        engine.report ? std::exp(-age / report_decay_seconds) : 0.0;
    auto out = reported_peer_load(w, index);
    out.requests =
        std::max<double>(engine.peer_requests,
                         report_weight * out.requests +
                             (1 - report_weight) * role.mean_peer_requests);
    out.prefill_tokens = std::max<double>(
        engine.peer_prefill_tokens,
        report_weight * out.prefill_tokens +
            (1 - report_weight) * role.mean_peer_prefill_tokens);
    out.requests += engine.local_requests;
    out.prefill_tokens += engine.local_prefill_tokens;
    out.kv_tokens += static_cast<double>(engine.local_kv_tokens);
    return out;
}

} // namespace agateledge
