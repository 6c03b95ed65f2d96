#ifndef AGATELEDGE_REQUEST_LIFECYCLE_HPP
#define AGATELEDGE_REQUEST_LIFECYCLE_HPP

#include "ids.hpp"
#include "result_code.hpp"

#include <string>

namespace agateledge
{

struct attempt_state;
struct request_state;
struct resume_point;
struct world;

/// @return the key that names an attempt's stream at its engine:
///         "<daemon>:<incarnation>:<attempt>"
std::string stream_key_of(world const &w, attempt_number attempt);

/// Begins an attempt of `request` on an engine and counts its load there.
///
/// @return the stored attempt
attempt_state &begin_engine_attempt(world &w, request_state &request,
                                    engine_index engine);

/// Begins an attempt of `request` that attaches to a running stream.
///
/// @return the stored attempt
attempt_state &begin_attached_attempt(world &w, request_state &request,
                                      engine_index engine,
                                      resume_point const &stream);

/// Begins an attempt of `request` on an endpoint of a plain service. If another
/// attempt of the request is running, the new one is its hedge.
///
/// @return the stored attempt
attempt_state &begin_service_attempt(world &w, request_state &request,
                                     endpoint_index endpoint);

/// Ends an attempt and subtracts its load from its engine or endpoint. Later
/// events of the attempt are dropped.
void end_attempt(world &w, attempt_number attempt);

/// Ends all attempts of a request.
void end_attempts(world &w, request_state &request);

/// Asks the engine of an attempt to stop its stream, and ends the attempt.
void cancel_attempt(world &w, attempt_state const &attempt);

/// Ends a request without an answer and sends the caller the reason.
void refuse_request(world &w, request_number request, result_code code,
                    std::string message);

/// Ends a request whose answer is complete, and counts it.
void finish_request(world &w, request_number request);

/// Puts a request back at the head of the waiting requests after its attempt
/// ended.
void requeue_request(world &w, request_state &request);

} // namespace agateledge

#endif
