#ifndef AGATELEDGE_PREDICT_FIRST_EVENT_HPP
#define AGATELEDGE_PREDICT_FIRST_EVENT_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

struct instance_state;
struct proxy_request_state;
struct world;

/// Predicted time and prompt tokens of a call to an instance.
struct first_event_prediction
{
    /// From the send to the first event, or to the complete reply of a call
    /// that is not streamed.
    duration time{};
    /// Part of `time` spent waiting for earlier calls of the instance.
    duration wait{};
    /// Prompt tokens that the engine has to prefill.
    int unread_tokens = 0;
    /// Prompt tokens that it has to prefill before.
    int backlog_tokens = 0;
    /// Prompt tokens that are expected to be in its prefix cache.
    int cached_tokens = 0;
    /// Prompt tokens that it copies from another engine's cache.
    int copied_tokens = 0;
};

/// Predicts the time to the first event from the instance's open calls, the
/// recent delay of its replies, and the prompt tokens that it has to prefill.
///
/// @param w state of the daemon
/// @param request request to be sent
/// @param instance instance that it would be sent to
/// @param copyable_tokens leading tokens that it can copy from another engine
first_event_prediction predict_first_event(world const &w,
                                           proxy_request_state const &request,
                                           instance_state const &instance,
                                           int copyable_tokens);

/// Updates the estimates of an instance's delay and of the prefill speed of its
/// service and role from the first bytes of a reply.
///
/// @param sent_at time of the send
/// @param predicted time to the first event that was predicted at the send
/// @param unread_tokens prompt tokens that the engine had to prefill
/// @param alone no other call of this daemon was open at the instance; only
///        then the prefill speed is updated
void update_first_event_estimate(world &w, instance_state &instance,
                                 instant sent_at, duration predicted,
                                 int unread_tokens, int backlog_tokens,
                                 bool alone);

/// @return time to copy cached tokens from another engine of the service; 0
///         for none
duration prefix_copy_time(world const &w, std::string const &service,
                          int tokens);

/// @return prompt tokens that the engine has yet to prefill, without those that
///         it has prefilled since the other daemons reported them
double unread_backlog(world const &w, instance_state const &instance);

/// @return prompt tokens that the engine prefills in a millisecond when idle
double prefill_tokens_per_ms(world const &w, instance_state const &instance);

} // namespace agateledge

#endif
