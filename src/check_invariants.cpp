#include "check_invariants.hpp"

#include "internal_assert.hpp"
#include "renew_leases.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

void check_attempt_target(world const &w, engine_call const &call)
{
    auto const index = w.engines.find(call.engine);
    internal_assert(index.has_value(), "call to unknown engine ", call.engine);
    internal_assert(call.attach || w.engines.at(*index).takes_work(),
                    "call to engine ", call.engine, " which accepts no work");
}

void check_service_call(world const &w, service_call const &call)
{
    auto const found = std::ranges::find_if(
        w.endpoints.all(), [&call](endpoint_state const &endpoint)
        { return endpoint.definition.name == call.endpoint; });
    internal_assert(found != w.endpoints.all().end(),
                    "call to unknown endpoint ", call.endpoint);
}

void check_order_call(world const &w, order_call const &call)
{
    auto const &order = call.order;
    auto const *lease = w.leases.find(w.identity.data_centre);
    internal_assert(lease != nullptr && authority_is_valid(*lease, w.now),
                    "order ", order.id, " sent without authority");
    internal_assert(lease->row.fencing == order.fencing, "order ", order.id,
                    " has fencing number ", order.fencing.value(),
                    ", the lease has ", lease->row.fencing.value());
    auto const state = w.orders.states.find(order.engine);
    internal_assert(state != w.orders.states.end() &&
                        state->second.record.state ==
                            order_record_state::open &&
                        state->second.record.order == order &&
                        state->second.row_version != 0,
                    "order ", order.id, " sent without an open record");
    internal_assert(w.engines.at(*w.engines.find(order.engine)).changing,
                    "order ", order.id, " sent to engine ", order.engine,
                    " which still accepts work");
}

void check_revision(world &w)
{
    auto &highest = w.config_sync.highest_revision;
    internal_assert(w.config.revision >= highest, "revision ",
                    w.config.revision.value(), " in force after ",
                    highest.value());
    highest = w.config.revision;
}

} // namespace

void check_invariants(world &w)
{
    check_revision(w);
    std::ranges::for_each(w.out.order_calls, [&w](order_call const &call)
                          { check_order_call(w, call); });
    std::ranges::for_each(w.out.engine_calls, [&w](engine_call const &call)
                          { check_attempt_target(w, call); });
    std::ranges::for_each(w.out.service_calls, [&w](service_call const &call)
                          { check_service_call(w, call); });
    internal_assert(w.attempts.all().size() <= w.requests.size() * 2,
                    "attempts ", w.attempts.all().size(), ", requests ",
                    w.requests.size());
}

} // namespace agateledge
