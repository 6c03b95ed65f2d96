#include "record_decision.hpp"

#include "world.hpp"

namespace agateledge
{

void record_candidate(world &w, request_number request, engine_index engine,
                      duration cost, char const *reason)
{
    w.queries.decisions.record({w.now, request, decision_kind::candidate,
                                result_code::ok, engine.value(), true,
                                cost.count(), reason});
}

void record_attempt(world &w, request_number request, engine_index engine)
{
    w.queries.decisions.record({w.now, request, decision_kind::attempt,
                                result_code::ok, engine.value(), true});
}

void record_attempt(world &w, request_number request, endpoint_index endpoint)
{
    w.queries.decisions.record({w.now, request, decision_kind::attempt,
                                result_code::ok, endpoint.value(), false});
}

void record_step(world &w, request_number request, decision_kind kind,
                 result_code code, char const *reason)
{
    w.queries.decisions.record(
        {w.now, request, kind, code, decision::no_target, true, -1, reason});
}

} // namespace agateledge
