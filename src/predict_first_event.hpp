#ifndef AGATELEDGE_PREDICT_FIRST_EVENT_HPP
#define AGATELEDGE_PREDICT_FIRST_EVENT_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

struct instance_state;
struct relay_state_entry;
struct world;

/// What a call of a request to an instance is expected to take.
struct first_event_prediction
{
    /// From the send to the first event, or to the whole reply of a call that
    /// is not streamed.
    duration time{};
    /// Part of `time` that the instance needs for calls before this one.
    duration wait{};
    /// Prompt tokens that the engine has to read.
    int unread_tokens = 0;
    /// Prompt tokens that are believed to be in its prefix cache.
    int cached_tokens = 0;
    /// Prompt tokens that it copies from another engine's cache.
    int copied_tokens = 0;
};

/// Predicts the time to the first event from the instance's open calls, from
/// the delay that its replies showed lately, and from the prompt tokens that it
/// has to read.
///
/// @param w the daemon
/// @param request request to be sent
/// @param instance where it would be sent
/// @param copyable_tokens leading tokens that it can copy from another engine
first_event_prediction predict_first_event(world const &w,
                                           relay_state_entry const &request,
                                           instance_state const &instance,
                                           int copyable_tokens);

/// Learns from the first bytes of a reply how much later than predicted the
/// instance replies, and how fast an idle engine reads.
///
/// @param sent_at time of the send
/// @param predicted prediction at that time
/// @param unread_tokens prompt tokens that the engine had to read
/// @param alone no other call of this daemon was open there
void learn_first_event(world &w, instance_state &instance, instant sent_at,
                       duration predicted, int unread_tokens, bool alone);

/// @return time to copy cached tokens from another engine of the service; 0
///         for none
duration copying_time(world const &w, std::string const &service, int tokens);

/// @return prompt tokens that an idle engine of this kind reads in a
///         millisecond
double prefill_tokens_per_ms(world const &w, instance_state const &instance);

} // namespace agateledge

#endif
