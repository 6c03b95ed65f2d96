#ifndef AGATELEDGE_TRACK_ENGINE_LOSSES_HPP
#define AGATELEDGE_TRACK_ENGINE_LOSSES_HPP

namespace agateledge
{

struct proxy_attempt;
struct proxy_request_state;
struct world;

/// Records that the connection of a call failed. If the engine was about to
/// answer a prompt and is not heard of again, it counts as lost under it.
void record_connection_failure(world &w, proxy_attempt const &attempt,
                               proxy_request_state const &request);

/// Decides which connection failures were losses of engines.
void track_engine_losses(world &w);

} // namespace agateledge

#endif
