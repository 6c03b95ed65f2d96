#include "tick.hpp"

#include "answer_operators.hpp"
#include "apply_change_notices.hpp"
#include "apply_configuration.hpp"
#include "check_invariants.hpp"
#include "claim_calls.hpp"
#include "dispatch_requests.hpp"
#include "forward_answers.hpp"
#include "hedge_calls.hpp"
#include "internal_assert.hpp"
#include "issue_orders.hpp"
#include "learn_costs.hpp"
#include "limit_callers.hpp"
#include "plan_role_changes.hpp"
#include "propose_configuration.hpp"
#include "receive_requests.hpp"
#include "renew_leases.hpp"
#include "retry_requests.hpp"
#include "stop_daemon.hpp"
#include "tick_proxy.hpp"
#include "track_engines.hpp"
#include "track_peers.hpp"
#include "update_circuits.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

void tick(world &w, instant now)
{
    internal_assert(now >= w.now, "clock went back from ",
                    w.now.time_since_epoch().count(), " to ",
                    now.time_since_epoch().count());
    w.lateness =
        w.next_wake ? std::max(now - *w.next_wake, duration(0)) : duration(0);
    w.now = now;
    w.next_wake.reset();
    track_peers(w);
    apply_configuration(w);
    advance_proposals(w);
    track_engines(w);
    stop_daemon(w);
    learn_costs(w);
    update_circuits(w);
    plan_role_changes(w);
    renew_leases(w);
    issue_orders(w);
    apply_change_notices(w);
    forward_answers(w);
    limit_callers(w);
    receive_requests(w);
    claim_calls(w);
    retry_requests(w);
    hedge_calls(w);
    dispatch_requests(w);
    if (w.proxy.enabled)
    {
        tick_proxy(w);
    }
    answer_operators(w);
    check_invariants(w);
    if (w.next_wake)
    {
        // The lateness of the next tick counts from the end of this one.
        w.next_wake = std::max(*w.next_wake, now);
    }
    w.in = {};
}

} // namespace agateledge
