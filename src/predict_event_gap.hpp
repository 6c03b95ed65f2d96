#ifndef AGATELEDGE_PREDICT_EVENT_GAP_HPP
#define AGATELEDGE_PREDICT_EVENT_GAP_HPP

#include "time.hpp"

namespace agateledge
{

struct instance_state;
struct world;

/// Cost of the pauses between the events of an engine's streams while it
/// prefills a prompt. An engine in decode role prefills prompts between the
/// tokens of its streams, so each prompt delays all of them; bursts of long
/// prompts or of many short ones then stall short streams. The cost is small
/// while the predicted pause is far below the maximum event gap of the service,
/// and equals that gap when the pause reaches it.
///
/// @param w state of the daemon
/// @param instance engine that would prefill the prompt
/// @param unread_tokens prompt tokens that it would have to prefill
/// @return time to add to the predicted first event when engines are compared;
///         0 for an engine in prefill role or a service without a maximum event
///         gap
duration pause_cost(world const &w, instance_state const &instance,
                    int unread_tokens);

/// @return true when the engine has open streams and prefilling this prompt
///         between their events, after the prompts that it has yet to prefill,
///         would exceed the maximum event gap of the service
bool delays_streams(world const &w, instance_state const &instance,
                    int unread_tokens);

/// Updates the estimated pause of an instance, and the undisturbed event time
/// of its service, from the time between two events of a stream.
void update_pause_estimate(world &w, instance_state &instance, duration pause);

} // namespace agateledge

#endif
