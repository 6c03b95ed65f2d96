#include "receive_requests.hpp"

#include "claim_calls.hpp"
#include "limit_callers.hpp"
#include "record_decision.hpp"
#include "request_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

service_definition const *find_service(configuration const &config,
                                       request_arrival const &arrival)
{
    bool const plain = !arrival.service.empty();
    auto const found = std::ranges::find_if(
        config.services,
        [&](service_definition const &service)
        {
            return service.plain == plain &&
                   (plain ? service.name == arrival.service
                          : service.model == arrival.model);
        });
    return found == config.services.end() ? nullptr : &*found;
}

request_class const *find_class(configuration const &config,
                                std::string const &service,
                                std::string const &name)
{
    auto const found =
        std::ranges::find_if(config.classes,
                             [&](request_class const &kind) {
                                 return kind.service == service &&
                                        (name.empty() || kind.name == name);
                             });
    return found == config.classes.end() ? nullptr : &*found;
}

std::string account_of(configuration const &config, std::string const &caller)
{
    auto const found =
        std::ranges::find(config.callers, caller, &caller_definition::name);
    return found == config.callers.end() ? std::string() : found->account;
}

void refuse_arrival(world &w, request_arrival const &arrival, result_code code,
                    std::string message)
{
    ++w.totals.refused_not_run;
    record_step(w, arrival.request, decision_kind::refused, code);
    w.out.caller_replies.push_back({arrival.request, caller_reply_kind::refused,
                                    code, std::move(message)});
}

void store_arrival(world &w, request_arrival &arrival,
                   request_class const &kind)
{
    request_state state;
    state.kind = kind;
    state.account = account_of(w.config, arrival.caller);
    state.arrived_at = arrival.received_at.value_or(w.now);
    if (arrival.resume)
    {
        int const shift = w.faults.shift_resume_offset ? 1 : 0;
        state.delivered_tokens = arrival.resume->offset + shift;
        state.text_offset = state.delivered_tokens;
        state.reattach = *arrival.resume;
        // Another daemon has accepted the request, so it must be completed.
        state.accepted = true;
    }
    state.arrival = std::move(arrival);
    auto const number = state.arrival.request;
    w.requests.add(std::move(state));
    w.waiting.push_back(number);
}

void accept_arrival(world &w, request_arrival &arrival)
{
    ++w.totals.requests;
    arrival.idempotent |= is_outcome_query(arrival);
    if (w.draining)
    {
        refuse_arrival(w, arrival, result_code::daemon_draining,
                       "the daemon is stopping");
        return;
    }
    auto const *service = find_service(w.config, arrival);
    if (service == nullptr)
    {
        bool const plain = !arrival.service.empty();
        refuse_arrival(w, arrival,
                       plain ? result_code::unknown_service
                             : result_code::unknown_model,
                       plain ? "unknown service \"" + arrival.service + "\""
                             : "unknown model \"" + arrival.model + "\"");
        return;
    }
    auto const *kind = find_class(w.config, service->name, arrival.class_name);
    if (kind == nullptr)
    {
        refuse_arrival(w, arrival, result_code::unknown_class,
                       "unknown class \"" + arrival.class_name +
                           "\" in service \"" + service->name + "\"");
        return;
    }
    if ((!arrival.idempotent || is_outcome_query(arrival)) &&
        arrival.idempotency_key.empty())
    {
        refuse_arrival(w, arrival, result_code::idempotency_key_missing,
                       "a non-idempotent call needs an Idempotency-Key");
        return;
    }
    if (!arrival.resume && !within_limit(w, arrival, *kind))
    {
        refuse_arrival(w, arrival, result_code::caller_limit,
                       "caller \"" + arrival.caller +
                           "\" exceeds its request rate in class \"" +
                           kind->name + "\"");
        return;
    }
    store_arrival(w, arrival, *kind);
}

void handle_disconnect(world &w, request_number number)
{
    auto *request = w.requests.find(number);
    if (request == nullptr)
    {
        return;
    }
    request->caller_left = true;
    if (may_have_run(w, number))
    {
        return;
    }
    settle_unanswered(w, number);
    if (request->attempt && request->arrival.service.empty())
    {
        cancel_attempt(w, *w.attempts.find(*request->attempt));
    }
    end_attempts(w, *request);
    ++w.totals.cancelled;
    w.requests.erase(number);
}

} // namespace

void receive_requests(world &w)
{
    std::ranges::for_each(w.in.arrivals, [&w](request_arrival &arrival)
                          { accept_arrival(w, arrival); });
    std::ranges::for_each(w.in.caller_disconnects,
                          [&w](caller_disconnect disconnect)
                          { handle_disconnect(w, disconnect.request); });
}

} // namespace agateledge
