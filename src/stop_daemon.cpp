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

/// @return true when the caller can take the request to another daemon now
bool can_move(world const &w, request_state const &request)
{
    bool const plain = !request.arrival.service.empty();
    bool const answered_soon = request.attempt.has_value();
    return plain ? !answered_soon && !may_have_run(w, request.arrival.request)
                 : true;
}

void hand_over_requests(world &w)
{
    std::vector<request_number> left;
    for (auto const &[number, request] : w.requests.all())
    {
        if (can_move(w, request))
        {
            left.push_back(number);
        }
    }
    std::ranges::sort(left);
    std::ranges::for_each(left,
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
        hand_over_requests(w);
    }
    bool const stored =
        w.claims.size() == 0 || w.now - *w.draining_since >= 2 * timeout;
    w.out.stop_ready =
        (w.requests.size() == 0 && stored && leases_released(w)) ||
        w.faults.skip_drain;
}

} // namespace agateledge
