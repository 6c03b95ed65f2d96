#ifndef AGATELEDGE_BREAK_CIRCUITS_HPP
#define AGATELEDGE_BREAK_CIRCUITS_HPP

#include "ids.hpp"

namespace agateledge
{

struct request_state;
struct world;

/// Opens the circuit of an engine or endpoint that fails repeatedly or is far
/// slower than its role's model, and closes it after a successful probe. Runs
/// before the tick's events end their attempts.
void break_circuits(world &w);

/// @return true when the engine's circuit lets the request through. An open
///         circuit lets nothing through; a half-open one lets a probe through
///         that is not of the most urgent class; a slow start bounds the work.
bool circuit_allows(world const &w, request_state const &request,
                    engine_index engine);

/// @return true when the endpoint's circuit lets a call through
bool circuit_allows(world const &w, endpoint_index endpoint);

} // namespace agateledge

#endif
