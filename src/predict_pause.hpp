#ifndef AGATELEDGE_PREDICT_PAUSE_HPP
#define AGATELEDGE_PREDICT_PAUSE_HPP

#include "time.hpp"

namespace agateledge
{

struct instance_state;
struct world;

/// Cost of the pauses that the streams of an engine make while it reads a
/// prompt. Answers bursts of long prompts, and of many short ones, beside short
/// streams: an engine in decode role reads prompts between the tokens of its
/// streams, so that each prompt holds all of them up. The cost is small while
/// the predicted pause is far below the bound of the service, and equals the
/// bound where the pause reaches it.
///
/// @param w the daemon
/// @param instance engine that would read the prompt
/// @param unread_tokens prompt tokens that it would have to read
/// @return time to add to the predicted first event when engines are compared;
///         0 for an engine without streams or a service without a bound
duration pause_cost(world const &w, instance_state const &instance,
                    int unread_tokens);

/// Learns from the time between two events of a stream.
void learn_pause(world const &w, instance_state &instance, duration pause);

} // namespace agateledge

#endif
