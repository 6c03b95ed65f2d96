#include "admit_proxied_requests.hpp"

#include "authenticate_proxied_requests.hpp"
#include "log_proxied_request.hpp"
#include "proxy_lifecycle.hpp"
#include "share_requests.hpp"
#include "stop_proxy.hpp"
#include "world.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agateledge
{

namespace
{

/// Retry-after time of requests that arrive before the configuration.
constexpr duration unready_retry_after = milliseconds(500);

std::string choose_service(world &w, route_definition const &route)
{
    auto const total =
        std::accumulate(route.services.begin(), route.services.end(), 0.0,
                        [](double sum, weighted_service const &item)
                        { return sum + item.weight; });
    auto point = w.random.uniform() * total;
    auto const chosen =
        std::ranges::find_if(route.services,
                             [&point](weighted_service const &item)
                             {
                                 point -= item.weight;
                                 return point < 0;
                             });
    return chosen == route.services.end() ? std::string() : chosen->service;
}

/// @return the route, which shares ownership of the configuration; null when
///         none matches
std::shared_ptr<route_definition const> route_of(world const &w,
                                                 proxy_request const &content)
{
    auto const *route =
        find_route(*w.proxy.routing, content.host, content.path());
    return {w.proxy.routing, route};
}

void admit(world &w, proxy_arrival const &arrival)
{
    proxy_request_state entry;
    entry.number = arrival.request;
    entry.content = arrival.content;
    entry.arrived_at = arrival.received_at;
    entry.last_event = arrival.content->resume_after;
    entry.expires_at = instant::max();
    entry.route = route_of(w, *arrival.content);
    auto &request = w.proxy.requests.add(std::move(entry));
    if (!request.route)
    {
        bool const known = w.proxy.routing->version != 0;
        refuse_proxied_request(
            w, arrival.request,
            known ? result_code::unknown_route
                  : result_code::configuration_stale,
            known ? "no route matches the host and path"
                  : "the routing configuration has not been loaded yet",
            known ? std::nullopt : std::optional(unready_retry_after));
        return;
    }
    if (!authenticate_proxied_request(w, request))
    {
        return;
    }
    if (admission_closed(w))
    {
        refuse_while_stopping(w, arrival.request);
        return;
    }
    auto const &route = *request.route;
    request.expires_at =
        arrival.received_at +
        std::min(arrival.content->caller_timeout.value_or(route.timeout),
                 route.timeout);
    request.begin_by = request.expires_at;
    if (route.kind == route_kind::streaming)
    {
        request.begin_by =
            std::min(request.begin_by,
                     arrival.received_at + route.stream_idle_timeout());
    }
    request.service = choose_service(w, route);
    if (arrival.content->prompt)
    {
        request.chain = shared_chain_of(*arrival.content->prompt);
    }
    w.proxy.budgets[request.service].record_request(w.now);
    record_account_request(w, request);
    w.proxy.expiries.add(request.expires_at, arrival.request);
    w.proxy.waiting.push_back(arrival.request);
    buffer_request_log(
        w, request, "request_admitted",
        {{"service", request.service},
         {"configuration", std::to_string(w.proxy.routing->version)},
         {"time_ms", milliseconds_text(request.expires_at - w.now)}});
}

void handle_disconnect(world &w, proxy_disconnect const &disconnect)
{
    auto *request = w.proxy.requests.find(disconnect.request);
    if (request == nullptr)
    {
        return;
    }
    if (request->attempt)
    {
        cancel_attempt(w, *request->attempt, call_result::neutral);
    }
    release_kept_prefill(w, *request);
    log_request_end(w, log_level::info, *request, "caller_left",
                    {{"runs", std::to_string(request->runs)},
                     {"answering", request->answering ? "true" : "false"}},
                    true);
    ++w.proxy.metrics.requests["caller_left"];
    remove_proxied_request(w, disconnect.request);
}

} // namespace

void admit_proxied_requests(world &w)
{
    refuse_withdrawn_keys(w);
    std::ranges::for_each(w.in.proxy_arrivals,
                          [&w](proxy_arrival const &arrival)
                          { admit(w, arrival); });
    std::ranges::for_each(w.in.proxy_disconnects,
                          [&w](proxy_disconnect const &disconnect)
                          { handle_disconnect(w, disconnect); });
}

} // namespace agateledge
