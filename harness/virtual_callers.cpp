#include "virtual_callers.hpp"

#include "internal_assert.hpp"
#include "standin_answer.hpp"
#include "virtual_deployment.hpp"

#include <algorithm>
#include <cmath>
#include <memory>

namespace agateledge
{

namespace
{

/// Time without a reply after which a caller gives up a try and sends another.
constexpr duration progress_timeout = seconds(20);

constexpr int max_booking_tries = 6;

/// Limit of concurrent calls. With more, retries alone overload the few engines
/// and the growing backlog slows down a long run.
constexpr std::size_t max_open_calls = 100;

constexpr int max_output_tokens = 4096;

std::string expected_text(std::uint64_t seed, int offset, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
    {
        text += standin_token(seed, offset + i);
    }
    return text;
}

} // namespace

virtual_callers::virtual_callers(virtual_deployment &deployment,
                                 example_deployment const &example,
                                 std::uint64_t seed)
    : deployment_(deployment), example_(example), random_(seed)
{
    deployment_.on_reply = [this](std::size_t daemon, caller_reply const &reply)
    { handle_reply(daemon, reply); };
    deployment_.on_service_effect =
        [this](std::size_t, request_number request, service_call const &call)
    {
        if (call.method == "POST")
        {
            handle_effect(request);
        }
    };
    // The answer's length is encoded in the seed, so that every engine
    // generates the same answer.
    deployment_.output_tokens = [](engine_call const &call)
    { return static_cast<int>(call.seed % max_output_tokens); };
}

void virtual_callers::begin(duration interval)
{
    plan_call(interval);
}

void virtual_callers::plan_call(duration interval)
{
    auto const wait = -std::log(1 - random_.uniform()) * to_seconds(interval);
    deployment_.at(deployment_.now() + from_seconds(wait),
                   [this, interval]
                   {
                       if (ended_)
                       {
                           return;
                       }
                       if (open_calls_ < max_open_calls)
                       {
                           start_call();
                       }
                       plan_call(interval);
                   });
}

void virtual_callers::start_call()
{
    constexpr std::uint64_t percent = 100;
    auto const roll = random_.below(percent);
    caller_call call;
    call.key = "key-" + std::to_string(calls_.size());
    if (roll < 35)
    {
        call.kind = call_kind::booking;
    }
    else if (roll < 45 && example_.has_status_checks)
    {
        call.kind = call_kind::status;
    }
    else
    {
        call.shape = example_.shapes.at(random_.below(example_.shapes.size()));
        auto const length =
            1 + random_.below(
                    2 * static_cast<std::uint64_t>(call.shape.output_tokens));
        call.seed =
            (random_() / max_output_tokens) * max_output_tokens + length;
    }
    calls_.push_back(std::move(call));
    ++open_calls_;
    send(calls_.size() - 1);
}

request_arrival virtual_callers::arrival_of(caller_call const &call) const
{
    request_arrival arrival;
    arrival.request = request_number(last_request_);
    arrival.caller = "caller";
    if (call.kind == call_kind::model)
    {
        arrival.model = example_.model;
        arrival.class_name = call.shape.name;
        arrival.prompt_tokens = call.shape.prompt_tokens;
        arrival.max_output_tokens = max_output_tokens;
        arrival.seed = call.seed;
        if (call.accepted)
        {
            auto place = call.place;
            place.offset = call.received;
            arrival.resume = std::make_shared<resume_point const>(place);
        }
        return arrival;
    }
    arrival.service = example_.booking_service;
    arrival.path = "/book";
    arrival.idempotency_key = call.key;
    arrival.body = std::make_shared<std::string const>(call.key);
    bool const booking = call.kind == call_kind::booking;
    arrival.class_name =
        call.kind == call_kind::status ? "status-check" : "booking";
    arrival.method = booking                           ? "POST"
                     : call.kind == call_kind::outcome ? "OUTCOME"
                                                       : "GET";
    arrival.idempotent = !booking;
    return arrival;
}

void virtual_callers::send(std::size_t index)
{
    auto &call = calls_.at(index);
    if (call.ended)
    {
        return;
    }
    auto const &daemons = deployment_.daemons();
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        if (daemons[i].alive)
        {
            alive.push_back(i);
        }
    }
    if (alive.empty())
    {
        schedule_retry(index, seconds(1));
        return;
    }
    auto const daemon = alive.at(random_.below(alive.size()));
    ++last_request_;
    ++requests_;
    ++call.tries;
    ++call.open_tries;
    request_number const number(last_request_);
    tries_[number] = {index, daemon};
    open_tries_.insert(number);
    auto const arrival = arrival_of(call);
    deployment_.submit(daemon, arrival);
    watch_progress(number, 0);
}

void virtual_callers::watch_progress(request_number number,
                                     std::uint64_t progress)
{
    deployment_.at(deployment_.now() + progress_timeout,
                   [this, number, progress]
                   {
                       auto &item = tries_.at(number);
                       if (!item.open)
                       {
                           return;
                       }
                       if (item.progress != progress)
                       {
                           watch_progress(number, item.progress);
                           return;
                       }
                       deployment_.disconnect_caller(item.daemon, number);
                       close(number);
                       schedule_retry(item.call, milliseconds(100));
                   });
}

void virtual_callers::close(request_number number)
{
    auto &item = tries_.at(number);
    item.open = false;
    open_tries_.erase(number);
    --calls_.at(item.call).open_tries;
}

void virtual_callers::end_call(caller_call &call)
{
    if (!call.ended)
    {
        call.ended = true;
        --open_calls_;
    }
}

void virtual_callers::schedule_retry(std::size_t index, duration delay)
{
    deployment_.at(deployment_.now() + delay, [this, index] { send(index); });
}

void virtual_callers::handle_daemon_end(std::size_t daemon, bool planned)
{
    auto const open = open_tries_;
    for (auto const number : open)
    {
        auto const &item = tries_.at(number);
        if (item.daemon != daemon)
        {
            continue;
        }
        internal_assert(!planned, "planned stop of daemon ", daemon,
                        " cut request ", number.value());
        close(number);
        schedule_retry(item.call, milliseconds(50 + random_.below(2000)));
    }
}

void virtual_callers::reconnect_random_stream()
{
    for (auto const number : open_tries_)
    {
        auto const &item = tries_.at(number);
        auto const &call = calls_.at(item.call);
        if (call.kind == call_kind::model && call.accepted &&
            random_.below(4) == 0)
        {
            deployment_.disconnect_caller(item.daemon, number);
            schedule_retry(item.call, milliseconds(random_.below(500)));
            close(number);
            return;
        }
    }
}

void virtual_callers::repeat_random_booking()
{
    for (auto const number : open_tries_)
    {
        auto const &item = tries_.at(number);
        if (calls_.at(item.call).kind == call_kind::booking &&
            random_.below(2) == 0)
        {
            send(item.call);
            return;
        }
    }
}

void virtual_callers::handle_effect(request_number request)
{
    auto &item = tries_.at(request);
    auto &call = calls_.at(item.call);
    ++call.effects;
    item.had_effect = true;
    internal_assert(call.effects == 1, "booking ", call.key, " ran ",
                    call.effects, " times, last by request ", request.value());
    internal_assert(!item.reported_not_run, "request ", request.value(),
                    " ran after it was refused as not run");
}

void virtual_callers::handle_reply(std::size_t daemon,
                                   caller_reply const &reply)
{
    auto const found = tries_.find(reply.request);
    internal_assert(found != tries_.end() && found->second.daemon == daemon,
                    "reply to request ", reply.request.value(),
                    " from a daemon that it was not sent to");
    auto &item = found->second;
    if (reply.kind == caller_reply_kind::refused &&
        guarantees_not_run(reply.code))
    {
        item.reported_not_run = true;
        internal_assert(!item.had_effect, "request ", reply.request.value(),
                        " had an effect but was refused as not run");
    }
    if (!item.open)
    {
        return;
    }
    ++item.progress;
    switch (reply.kind)
    {
    case caller_reply_kind::accepted:
        calls_.at(item.call).accepted = true;
        calls_.at(item.call).place = {reply.stream_key, reply.engine, 0};
        return;
    case caller_reply_kind::chunk:
        handle_chunk(item, reply);
        return;
    case caller_reply_kind::finished:
        close(reply.request);
        handle_finished(item, reply);
        return;
    case caller_reply_kind::refused:
        close(reply.request);
        handle_refused(item, reply);
        return;
    }
}

void virtual_callers::handle_chunk(caller_try &item, caller_reply const &reply)
{
    auto &call = calls_.at(item.call);
    internal_assert(reply.offset == call.received, "request ",
                    reply.request.value(), " has tokens from offset ",
                    reply.offset, "; expected offset ", call.received);
    internal_assert(reply.text ==
                        expected_text(call.seed, reply.offset, reply.tokens),
                    "request ", reply.request.value(),
                    " has wrong text at token ", reply.offset);
    call.received += reply.tokens;
}

void virtual_callers::handle_finished(caller_try &item,
                                      caller_reply const &reply)
{
    auto &call = calls_.at(item.call);
    ++answered_;
    if (call.kind == call_kind::model)
    {
        auto const length = static_cast<int>(call.seed % max_output_tokens);
        internal_assert(call.received == length, "request ",
                        reply.request.value(), " ended after ", call.received,
                        " of ", length, " tokens");
    }
    if (call.kind == call_kind::booking)
    {
        internal_assert(call.effects == 1 &&
                            reply.text.find('"' + call.key + '"') !=
                                std::string::npos,
                        "booking ", call.key, " with ", call.effects,
                        " effects was answered ", reply.text);
        if (!call.ended && random_.below(4) == 0)
        {
            query_outcome(item.call);
        }
    }
    if (calls_.at(item.call).kind == call_kind::outcome)
    {
        handle_outcome(calls_.at(item.call), reply.text);
    }
    end_call(calls_.at(item.call));
}

void virtual_callers::query_outcome(std::size_t booking)
{
    caller_call query;
    query.kind = call_kind::outcome;
    query.key = calls_.at(booking).key;
    query.booking = booking;
    query.booking_tries_at_query = calls_.at(booking).tries;
    calls_.push_back(std::move(query));
    ++open_calls_;
    schedule_retry(calls_.size() - 1, milliseconds(1));
}

void virtual_callers::handle_outcome(caller_call const &query,
                                     std::string const &text) const
{
    auto const &booking = calls_.at(query.booking);
    bool const done = text.find(R"("outcome":"done")") != std::string::npos;
    bool const not_run =
        text.find(R"("outcome":"not_run")") != std::string::npos;
    internal_assert(!done || booking.effects == 1, "booking ", query.key,
                    " with ", booking.effects, " effects has outcome ", text);
    bool const tried_since =
        booking.open_tries > 0 || booking.tries != query.booking_tries_at_query;
    internal_assert(!not_run || booking.effects == 0 || tried_since, "booking ",
                    query.key, " ran and has outcome ", text);
}

void virtual_callers::handle_refused(caller_try &item,
                                     caller_reply const &reply)
{
    auto const index = item.call;
    auto &call = calls_.at(index);
    if (call.kind == call_kind::model && call.accepted)
    {
        schedule_retry(index, milliseconds(100 + random_.below(1000)));
        return;
    }
    internal_assert(reply.code != result_code::idempotency_key_reused,
                    "booking ", call.key,
                    " was refused because its idempotency key was reused");
    bool const retries = call.kind == call_kind::booking ||
                         reply.code == result_code::daemon_draining;
    if (retries && call.tries < max_booking_tries && random_.below(5) != 0)
    {
        schedule_retry(index, milliseconds(50 + random_.below(3000)));
        return;
    }
    if (call.kind == call_kind::booking && !call.ended)
    {
        query_outcome(index);
    }
    end_call(calls_.at(index));
}

std::string virtual_callers::open_call() const
{
    auto const call = std::ranges::find(calls_, false, &caller_call::ended);
    if (call == calls_.end())
    {
        return "none";
    }
    return call->key + " of kind " +
           std::to_string(static_cast<int>(call->kind)) + " after " +
           std::to_string(call->tries) + " tries";
}

} // namespace agateledge
