#include "authenticate_proxied_requests.hpp"

#include "account_state.hpp"
#include "log_proxied_request.hpp"
#include "proxy_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

bool is_unsent(proxy_request_state const &request)
{
    return request.runs == 0 && !request.attempt && !request.retained_prefill;
}

/// @return the route that decides whether the request needs a key: that of the
///         configuration in force, or else the one it was admitted with
route_definition const &route_in_force(world const &w,
                                       proxy_request_state const &request)
{
    auto const *route = find_route(*w.proxy.routing, request.content->host,
                                   request.content->path());
    return route != nullptr ? *route : *request.route;
}

} // namespace

bool authenticate_proxied_request(world &w, proxy_request_state &request)
{
    auto const before = std::exchange(request.account, {});
    request.priority = request.route->priority;
    if (!w.proxy.routing->accounts)
    {
        return true;
    }
    auto const &credential = request.content->credential;
    auto const *account = w.proxy.routing->accounts->authenticate(credential);
    if (account != nullptr)
    {
        request.account = account->name;
        request.priority = account->priority.value_or(request.priority);
        return true;
    }
    if (route_in_force(w, request).is_public)
    {
        return true;
    }
    if (!before.empty())
    {
        ++w.proxy.accounts->counters[before].refused_keys;
    }
    auto const label = key_label(credential);
    buffer_request_log(w, request, "request_key_refused",
                       {{"key_sha256", label}});
    refuse_proxied_request(w, request.number, result_code::unauthenticated,
                           label.empty() ? "the request has no key"
                                         : "no client account has this key");
    return false;
}

void refuse_withdrawn_keys(world &w)
{
    auto &state = w.proxy.accounts;
    if (!state)
    {
        state = std::make_shared<account_state>();
    }
    if (state->authenticated_by == w.proxy.routing->accounts)
    {
        return;
    }
    state->authenticated_by = w.proxy.routing->accounts;
    auto const waiting = w.proxy.waiting;
    for (auto const number : waiting)
    {
        auto *request = w.proxy.requests.find(number);
        if (request != nullptr && is_unsent(*request))
        {
            authenticate_proxied_request(w, *request);
        }
    }
}

} // namespace agateledge
