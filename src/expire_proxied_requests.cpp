#include "expire_proxied_requests.hpp"

#include "log_proxied_request.hpp"
#include "proxy_lifecycle.hpp"
#include "world.hpp"

namespace agateledge
{

namespace
{

void expire(world &w, request_number number)
{
    auto *request = w.proxy.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    if (request->attempt)
    {
        auto const *call = w.proxy.requests.find(*request->attempt);
        bool const unanswered = call != nullptr && !call->answered;
        cancel_attempt(w, *request->attempt,
                       unanswered ? call_result::failed : call_result::neutral);
    }
    fail_proxied_request(w, number, "the deadline of the request has passed");
}

} // namespace

void expire_proxied_requests(world &w)
{
    while (auto const due = w.proxy.expiries.pop_due(w.now))
    {
        expire(w, *due);
    }
    if (auto const next = w.proxy.expiries.next())
    {
        wake_at(w, *next);
    }
}

} // namespace agateledge
