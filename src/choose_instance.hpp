#ifndef AGATELEDGE_CHOOSE_INSTANCE_HPP
#define AGATELEDGE_CHOOSE_INSTANCE_HPP

#include "predict_first_event.hpp"
#include "relay_messages.hpp"

#include <optional>
#include <string>

namespace agateledge
{

struct relay_state_entry;
struct world;

/// Instance that a request is sent to.
struct instance_choice
{
    std::string instance;
    relay_stage stage = relay_stage::run;
    /// Address of the engine to copy cached prompt parts from; empty for none.
    std::string prefix_source_address;
    first_event_prediction prediction;
    /// The instance has as much work as it should; the request waits.
    bool full = false;
    /// Instances that were compared.
    int candidates = 0;
    /// Cost of the next best candidate, for the log.
    duration runner_up{};
};

/// Chooses the instance with the earliest predicted first event. Answers the
/// load of the heaviest days, bursts of long prompts with shared parts: an
/// engine that holds them is preferred, and another one copies them from it
/// when that is predicted to be earlier than waiting. Parts that no engine is
/// known to hold go by weighted rendezvous hashing, so that daemons agree on
/// the engine that reads them without messages.
///
/// Engines in prefill role are used when the KV cache that they fill can be
/// handed to an engine in decode role earlier than the latter would read the
/// prompt.
///
/// @param w the daemon
/// @param request waiting request; a request with a kept prefill goes to an
///        engine in decode role
/// @return the choice, or nothing when no instance may take the request
std::optional<instance_choice>
choose_instance(world &w, relay_state_entry const &request);

} // namespace agateledge

#endif
