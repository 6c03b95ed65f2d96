#ifndef AGATELEDGE_TRACK_ENGINE_LOSSES_HPP
#define AGATELEDGE_TRACK_ENGINE_LOSSES_HPP

#include "time.hpp"

namespace agateledge
{

/// Number of times that events of a stream arrive until its engine has
/// certainly begun the answer without crashing.
inline constexpr int min_events_of_sound_answer = 4;

struct proxy_attempt;
struct proxy_request_state;
struct world;

/// Records that the connection of a call failed. If the engine was about to
/// answer a prompt and is not heard of again, it counts as lost under it.
///
/// @return time that the request waits before it is sent again: when it may
///         have lost a second engine, until that is known
duration record_connection_failure(world &w, proxy_attempt const &attempt,
                                   proxy_request_state const &request);

/// Records that an engine answers the prompt of a request without crashing.
void record_sound_answer(world &w, proxy_request_state const &request);

/// Decides which connection failures were losses of engines.
void track_engine_losses(world &w);

} // namespace agateledge

#endif
