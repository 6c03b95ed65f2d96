#include "latest_start.hpp"

#include "predict_engine.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Fraction of the first-token deadline within which an idle engine must be
/// able to return the first token. The rest covers work that is queued ahead of
/// the request on the engine.
constexpr double usable_deadline_share = 0.8;

} // namespace

instant latest_start(world const &w, request_state const &request)
{
    auto const &kind = request.kind;
    if (kind.may_wait)
    {
        return instant::max();
    }
    auto latest = kind.finish_deadline.count() > 0
                      ? request.arrived_at + kind.finish_deadline
                      : instant::max();
    bool const model_request = request.arrival.service.empty();
    bool const awaits_first_token =
        kind.first_token_deadline.count() > 0 && !request.first_token_at;
    if (model_request && awaits_first_token)
    {
        auto const max_wait_seconds =
            usable_deadline_share * to_seconds(kind.first_token_deadline) -
            idle_first_token_seconds(w, request);
        latest =
            std::min(latest, request.arrived_at +
                                 from_seconds(std::max(0.0, max_wait_seconds)));
    }
    return latest;
}

} // namespace agateledge
