#ifndef AGATELEDGE_UPDATE_CIRCUITS_HPP
#define AGATELEDGE_UPDATE_CIRCUITS_HPP

#include "ids.hpp"

namespace agateledge
{

struct request_state;
struct world;

/// Opens the circuit of an engine or endpoint that fails repeatedly or is far
/// slower than its role's model, and closes it after a successful probe. Must
/// run while the attempts of this tick's events are still open.
void update_circuits(world &w);

/// @return true when the engine's circuit admits the request. An open circuit
///         admits none; a half-open one admits one probe at a time, which may
///         not be of the most urgent priority unless its class may wait. In the
///         slow start after closing, the number of open requests is limited.
bool circuit_allows(world const &w, request_state const &request,
                    engine_index engine);

/// @return true when the endpoint's circuit admits a call
bool circuit_allows(world const &w, endpoint_index endpoint);

} // namespace agateledge

#endif
