#include "stop_daemon.hpp"

#include "claim_calls.hpp"
#include "renew_leases.hpp"
#include "request_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <vector>

namespace agateledge
{

namespace
{

constexpr duration check_interval = milliseconds(50);

/// @return true when the caller can resume or repeat the request at another
///         daemon now
bool can_move(world const &w, request_state const &request)
{
    bool const is_service_call = !request.arrival.service.empty();
    bool const attempt_open = request.attempt.has_value();
    return is_service_call
               ? !attempt_open && !may_have_run(w, request.arrival.request)
               : true;
}

void refuse_open_requests(world &w)
{
    std::vector<request_number> movable;
    for (auto const &[number, request] : w.requests.all())
    {
        if (can_move(w, request))
        {
            movable.push_back(number);
        }
    }
    std::ranges::sort(movable);
    std::ranges::for_each(movable,
                          [&w](request_number number)
                          {
                              refuse_request(w, number,
                                             result_code::daemon_draining,
                                             "resume at another daemon");
                          });
}

} // namespace

void stop_daemon(world &w)
{
    if (w.in.shutdown && !w.draining_since)
    {
        w.draining = true;
        w.draining_since = w.now;
    }
    if (!w.draining_since)
    {
        return;
    }
    wake_at(w, w.now + check_interval);
    auto const timeout = w.config.policy.drain_timeout;
    if (w.now - *w.draining_since >= timeout)
    {
        refuse_open_requests(w);
    }
    bool const claims_done =
        w.claims.size() == 0 || w.now - *w.draining_since >= 2 * timeout;
    w.out.shutdown_complete =
        (w.requests.size() == 0 && claims_done && leases_released(w)) ||
        w.faults.skip_drain;
}

} // namespace agateledge
