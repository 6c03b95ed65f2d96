#ifndef AGATELEDGE_RECORD_DECISION_HPP
#define AGATELEDGE_RECORD_DECISION_HPP

#include "decision_ring.hpp"
#include "ids.hpp"
#include "result_code.hpp"

namespace agateledge
{

struct world;

/// Records that an engine was considered for a request.
///
/// @param cost predicted cost; negative when it was not computed
/// @param reason text of static storage duration, for example "chosen"
void record_candidate(world &w, request_number request, engine_index engine,
                      duration cost, char const *reason);

/// Records an attempt on an engine.
void record_attempt(world &w, request_number request, engine_index engine);

/// Records an attempt on an endpoint of a plain service.
void record_attempt(world &w, request_number request, endpoint_index endpoint);

/// Records a step of a request that has no engine or endpoint.
///
/// @param reason text of static storage duration
void record_step(world &w, request_number request, decision_kind kind,
                 result_code code, char const *reason = "");

} // namespace agateledge

#endif
