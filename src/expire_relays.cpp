#include "expire_relays.hpp"

#include "log_relay.hpp"
#include "relay_lifecycle.hpp"
#include "world.hpp"

namespace agateledge
{

namespace
{

void expire(world &w, request_number number)
{
    auto *request = w.relay.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    if (request->attempt)
    {
        auto const *call = w.relay.requests.find(*request->attempt);
        bool const unanswered = call != nullptr && !call->answered;
        cancel_attempt(w, *request->attempt,
                       unanswered ? call_result::failed : call_result::neutral);
    }
    fail_relay(w, number, "the deadline of the request has passed");
}

} // namespace

void expire_relays(world &w)
{
    while (auto const due = w.relay.expiries.take(w.now))
    {
        expire(w, *due);
    }
    if (auto const next = w.relay.expiries.next())
    {
        wake_at(w, *next);
    }
}

} // namespace agateledge
