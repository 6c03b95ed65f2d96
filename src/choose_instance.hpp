#ifndef AGATELEDGE_CHOOSE_INSTANCE_HPP
#define AGATELEDGE_CHOOSE_INSTANCE_HPP

#include "predict_first_event.hpp"
#include "proxy_messages.hpp"

#include <optional>
#include <string>

namespace agateledge
{

struct proxy_request_state;
struct world;

/// Instance chosen for a request.
struct instance_choice
{
    std::string instance;
    proxy_stage stage = proxy_stage::run;
    /// Address of the engine to copy cached prompt parts from; empty when
    /// nothing is copied.
    std::string prefix_source_address;
    first_event_prediction prediction;
    /// The instance is at its concurrency limit; the request must wait.
    bool full = false;
    /// Number of instances whose costs were compared.
    int candidates = 0;
    /// Cost of the next best candidate, for the log.
    duration runner_up{};
};

/// Chooses the instance with the earliest predicted first event. The heaviest
/// load is bursts of long prompts with shared parts: an engine that has them in
/// its prefix cache is preferred, and another engine copies them from it when
/// that is predicted to be faster than waiting. Parts that no engine is known
/// to cache are assigned by weighted rendezvous hashing, so that all daemons
/// choose the same engine for them without exchanging messages.
///
/// Engines in prefill role are used when the KV cache that they compute can be
/// transferred to an engine in decode role before that engine would have
/// computed it itself.
///
/// @param w state of the daemon
/// @param request waiting request; if an engine already holds its prefilled KV
///        cache, it goes to an engine in decode role
/// @return the choice, or nothing when no instance is eligible
std::optional<instance_choice>
choose_instance(world &w, proxy_request_state const &request);

} // namespace agateledge

#endif
