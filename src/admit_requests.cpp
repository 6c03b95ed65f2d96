#include "admit_requests.hpp"

#include "predict_engine.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Share of the first token's deadline that may pass before the request has
/// its token from an idle engine; the rest covers the work ahead of it there.
constexpr double deadline_share = 0.8;

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
    bool const model = request.arrival.service.empty();
    bool const waits_for_first =
        kind.first_token_deadline.count() > 0 && !request.first_token_at;
    if (model && waits_for_first)
    {
        auto const left =
            deadline_share * to_seconds(kind.first_token_deadline) -
            best_first_token(w, request);
        latest = std::min(latest, request.arrived_at +
                                      from_seconds(std::max(0.0, left)));
    }
    return latest;
}

} // namespace agateledge
