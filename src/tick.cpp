#include "tick.hpp"

#include "break_circuits.hpp"
#include "check_invariants.hpp"
#include "claim_calls.hpp"
#include "dispatch_requests.hpp"
#include "forward_answers.hpp"
#include "internal_assert.hpp"
#include "learn_costs.hpp"
#include "plan_role_changes.hpp"
#include "receive_requests.hpp"
#include "track_engines.hpp"
#include "world.hpp"

namespace agateledge
{

void tick(world &w, instant now)
{
    internal_assert(now >= w.now, "time went back from ",
                    w.now.time_since_epoch().count(), " to ",
                    now.time_since_epoch().count());
    w.now = now;
    w.next_wake.reset();
    track_engines(w);
    learn_costs(w);
    break_circuits(w);
    forward_answers(w);
    receive_requests(w);
    claim_calls(w);
    dispatch_requests(w);
    plan_role_changes(w);
    check_invariants(w);
    w.in = {};
}

} // namespace agateledge
