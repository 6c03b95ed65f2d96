#ifndef AGATELEDGE_PREDICT_ENGINE_HPP
#define AGATELEDGE_PREDICT_ENGINE_HPP

#include "ids.hpp"

namespace agateledge
{

struct request_state;
struct world;

/// Expected course of a request on one engine, in seconds from now.
struct engine_prediction
{
    double first_token = 0;
    double finish = 0;
    /// False when the engine should get no more work. The request then waits in
    /// the daemon's queue, where priorities still apply.
    bool has_capacity = false;
};

/// Predicts a request's course on an engine from the learned costs.
///
/// @param cached_tokens prompt tokens expected in the engine's prefix cache
engine_prediction predict_engine(world const &w, request_state const &request,
                                 engine_index engine, double cached_tokens);

/// @return seconds to the first token on an idle engine of the service
double idle_first_token_seconds(world const &w, request_state const &request);

} // namespace agateledge

#endif
