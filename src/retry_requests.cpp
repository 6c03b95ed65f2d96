#include "retry_requests.hpp"

#include "request_lifecycle.hpp"
#include "select_engine.hpp"
#include "world.hpp"

#include <algorithm>
#include <vector>

namespace agateledge
{

namespace
{

/// Time without a token after which a stream counts as lost. An engine at a
/// tenth of its speed needs up to 0.8 s for one step.
constexpr duration token_bound = seconds(5);

/// Time without a first token after which an attempt counts as lost; covers the
/// queue and a long prompt at a busy engine.
constexpr duration first_token_bound = seconds(30);

constexpr duration first_delay = milliseconds(20);
constexpr duration drain_check_interval = seconds(1);
constexpr duration starved_poll_interval = milliseconds(100);

/// Time that a request waits for the retry budget before it is given up.
constexpr duration starved_bound = seconds(30);

duration delay_before(request_state const &request)
{
    constexpr int most_doublings = 5;
    return first_delay *
           (1 << std::clamp(request.attempts - 1, 0, most_doublings));
}

void plan_engine_retry(world &w, request_state &request,
                       attempt_state const &attempt, attempt_loss loss)
{
    bool const interrupted = loss == attempt_loss::interrupted;
    auto const &engine = w.engines.at(*attempt.engine).definition;
    bool const progressed = !attempt.attached || attempt.first_token_at;
    if (interrupted && progressed && !attempt.prefill_only)
    {
        request.reattach = resume_point{attempt.stream_key, engine.name,
                                        request.delivered_tokens};
        return;
    }
    if (interrupted)
    {
        w.out.attempt_cancels.push_back(
            {attempt.attempt, engine.name, engine.address, attempt.stream_key});
    }
    request.reattach.reset();
    request.avoid_engine = *attempt.engine;
    // A resume that finds its stream gone counts as a first attempt, like any
    // other arrival.
    bool const failed_resume = attempt.attached && request.attempts == 1;
    request.needs_retry |= interrupted || (attempt.attached && !failed_resume);
}

void check_progress(world &w, attempt_number number)
{
    auto const *attempt = w.attempts.find(number);
    if (attempt == nullptr)
    {
        return;
    }
    auto const due =
        attempt->last_progress_at +
        (attempt->first_token_at ? token_bound : first_token_bound);
    if (w.now < due)
    {
        // The first token may arrive meanwhile and bring the bound closer.
        w.attempts.checks.add(std::min(due, w.now + token_bound), number);
        return;
    }
    auto &request = *w.requests.find(attempt->request);
    lose_attempt(w, request, number, attempt_loss::interrupted);
}

/// Moves an attempt to another engine, if there is one.
void move_attempt(world &w, attempt_number number)
{
    auto const *attempt = w.attempts.find(number);
    auto &request = *w.requests.find(attempt->request);
    if (!select_engine(w, request))
    {
        return;
    }
    cancel_attempt(w, *attempt);
    request.reattach.reset();
    requeue_request(w, request);
}

void move_attempts(world &w, engine_index engine)
{
    std::vector<attempt_number> moved;
    for (auto const &[number, attempt] : w.attempts.all())
    {
        if (attempt.engine == engine)
        {
            moved.push_back(number);
        }
    }
    std::ranges::sort(moved);
    std::ranges::for_each(moved, [&w](attempt_number number)
                          { move_attempt(w, number); });
}

void empty_engine(world &w, engine_index index)
{
    auto &engine = w.engines.at(index);
    if (!engine.must_empty())
    {
        engine.emptying_since.reset();
        return;
    }
    if (!engine.emptying_since)
    {
        engine.emptying_since = w.now;
    }
    wake_at(w, w.next_drain_check);
    if (engine.own_requests > 0 &&
        w.now - *engine.emptying_since >= w.config.policy.drain_timeout)
    {
        move_attempts(w, index);
    }
}

} // namespace

void lose_attempt(world &w, request_state &request, attempt_number number,
                  attempt_loss loss)
{
    auto const attempt = *w.attempts.find(number);
    end_attempt(w, number);
    if (request.attempt)
    {
        return;
    }
    if (attempt.engine)
    {
        plan_engine_retry(w, request, attempt, loss);
    }
    else
    {
        request.avoid_endpoint = attempt.endpoint;
        request.needs_retry |= loss == attempt_loss::interrupted;
    }
    ++w.totals.retries;
    request.not_before = w.now + delay_before(request);
    requeue_request(w, request);
}

void plan_progress_check(world &w, attempt_number attempt)
{
    auto const when = w.now + token_bound;
    w.attempts.checks.add(when, attempt);
    wake_at(w, when);
}

bool may_start_attempt(world &w, request_state &request)
{
    if (request.attempts == 0)
    {
        w.retries.earn(w.config.policy.retry_share);
        return true;
    }
    if (!request.needs_retry || request.reattach || w.retries.spend(w.now))
    {
        request.needs_retry &= request.reattach.has_value();
        request.starved_since.reset();
        return true;
    }
    if (!request.starved_since)
    {
        request.starved_since = w.now;
    }
    if (w.now - *request.starved_since < starved_bound)
    {
        request.not_before = w.now + starved_poll_interval;
        return false;
    }
    refuse_request(w, request.arrival.request, result_code::retries_exhausted,
                   "the retry budget is spent");
    return false;
}

void retry_requests(world &w)
{
    while (auto const number = w.attempts.checks.take(w.now))
    {
        check_progress(w, *number);
    }
    if (auto const next = w.attempts.checks.next())
    {
        wake_at(w, *next);
    }
    if (w.now < w.next_drain_check)
    {
        return;
    }
    w.next_drain_check = w.now + drain_check_interval;
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        empty_engine(w, engine_index(i));
    }
}

} // namespace agateledge
