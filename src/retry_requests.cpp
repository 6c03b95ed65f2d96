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
constexpr duration token_timeout = seconds(5);

/// Time without a first token after which an attempt counts as lost; covers the
/// queue and a long prompt at a busy engine.
constexpr duration first_token_timeout = seconds(30);

/// Back-off before the first retry; doubles with each further attempt.
constexpr duration first_retry_delay = milliseconds(20);
constexpr duration drain_check_interval = seconds(1);
constexpr duration budget_poll_interval = milliseconds(100);

/// Time that a request waits for the retry budget before it is refused.
constexpr duration budget_wait_timeout = seconds(30);

duration retry_delay(request_state const &request)
{
    constexpr int max_doublings = 5;
    return first_retry_delay *
           (1 << std::clamp(request.attempts - 1, 0, max_doublings));
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
    // A resumed request whose stream no longer exists starts over like a new
    // arrival and does not use the retry budget.
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
        (attempt->first_token_at ? token_timeout : first_token_timeout);
    if (w.now < due)
    {
        // The shorter token time-out applies once the first token arrives.
        w.attempts.progress_checks.add(std::min(due, w.now + token_timeout),
                                       number);
        return;
    }
    auto &request = *w.requests.find(attempt->request);
    lose_attempt(w, request, number, attempt_loss::interrupted);
}

/// Moves an attempt to another engine, if one can accept it.
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

void check_drain(world &w, engine_index index)
{
    auto &engine = w.engines.at(index);
    if (!engine.must_drain())
    {
        engine.draining_since.reset();
        return;
    }
    if (!engine.draining_since)
    {
        engine.draining_since = w.now;
    }
    wake_at(w, w.next_drain_check);
    if (engine.local_requests > 0 &&
        w.now - *engine.draining_since >= w.config.policy.drain_timeout)
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
    request.not_before = w.now + retry_delay(request);
    requeue_request(w, request);
}

void plan_progress_check(world &w, attempt_number attempt)
{
    auto const when = w.now + token_timeout;
    w.attempts.progress_checks.add(when, attempt);
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
        request.budget_wait_since.reset();
        return true;
    }
    if (!request.budget_wait_since)
    {
        request.budget_wait_since = w.now;
    }
    if (w.now - *request.budget_wait_since < budget_wait_timeout)
    {
        request.not_before = w.now + budget_poll_interval;
        return false;
    }
    refuse_request(w, request.arrival.request, result_code::retries_exhausted,
                   "the retry budget did not allow another attempt in time");
    return false;
}

void retry_requests(world &w)
{
    while (auto const number = w.attempts.progress_checks.pop_due(w.now))
    {
        check_progress(w, *number);
    }
    if (auto const next = w.attempts.progress_checks.next())
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
        check_drain(w, engine_index(i));
    }
}

} // namespace agateledge
