#include "estimate_load.hpp"

#include "world.hpp"

#include <algorithm>
#include <cmath>

namespace agateledge
{

namespace
{

/// Age at which a report has lost two thirds of its weight.
constexpr double report_half_life_seconds = 2.0;

own_load own_load_at(engine_costs const &costs, instant when)
{
    own_load out;
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

load_estimate reported_others(world const &w, engine_index index)
{
    auto const &engine = w.engines.at(index);
    if (!engine.report)
    {
        return {};
    }
    auto const &report = *engine.report;
    auto const own =
        own_load_at(w.costs.engine(index), engine.report_measured_at);
    load_estimate out;
    out.requests = std::max(0, report.running + report.waiting - own.requests);
    out.prefill_tokens =
        std::max(0, report.waiting_prefill_tokens - own.prefill_tokens);
    out.kv_tokens = static_cast<double>(
        std::max<std::int64_t>(0, report.kv_tokens_used - own.kv_tokens));
    return out;
}

load_estimate estimate_load(world const &w, engine_index index)
{
    auto const &engine = w.engines.at(index);
    auto const &role = w.costs.role(engine.definition.service, engine.role());
    auto const age = to_seconds(w.now - engine.report_measured_at);
    auto const trust =
        engine.report ? std::exp(-age / report_half_life_seconds) : 0.0;
    auto out = reported_others(w, index);
    out.requests = std::max<double>(engine.peer_requests,
                                    trust * out.requests +
                                        (1 - trust) * role.others_requests);
    out.prefill_tokens = std::max<double>(
        engine.peer_prefill_tokens,
        trust * out.prefill_tokens + (1 - trust) * role.others_prefill_tokens);
    out.requests += engine.own_requests;
    out.prefill_tokens += engine.own_prefill_tokens;
    out.kv_tokens += static_cast<double>(engine.own_kv_tokens);
    return out;
}

} // namespace agateledge
