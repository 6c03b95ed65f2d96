#include "engine_simulator.hpp"

#include "proxy_fixture.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr duration step = milliseconds(2);

/// Prefill speeds in prompt tokens per millisecond, and the decoding time of
/// one event, of engines like those of large language models.
constexpr double prefill_speed = 48;
constexpr double decode_speed = 24;
constexpr duration event_time = milliseconds(42);

constexpr int events_per_stream = 6;

} // namespace

void engine_simulator::send(std::string const &path, int prompt_tokens)
{
    auto const number = daemon_.send(path, 1, 0, prompt_tokens);
    auto const &routes = daemon_.state.proxy.routing->routes;
    auto const route =
        std::ranges::find_if(routes, [&path](route_definition const &item)
                             { return path.starts_with(item.path_prefix); });
    caller entry;
    entry.path = path;
    entry.sent_at = daemon_.state.now;
    entry.target = route->target_latency;
    entry.max_gap = route->max_event_gap.value_or(duration::max());
    callers_[number] = entry;
}

void engine_simulator::accept_call(proxy_call const &call)
{
    auto &item = engines_[call.instance];
    if (!call.kv_handle.empty())
    {
        daemon_.reply_head(call.attempt, 200);
        item.streams.push_back({call.attempt, events_per_stream, event_time});
        return;
    }
    auto const tokens =
        daemon_.state.proxy.requests.find(call.attempt)->unread_tokens;
    item.prompts.push_back({call.attempt, call.priority.value_or(5),
                            static_cast<double>(tokens), call.stage});
}

void engine_simulator::accept_answer(proxy_answer const &answer)
{
    auto const found = callers_.find(answer.request);
    if (found == callers_.end())
    {
        return;
    }
    auto &entry = found->second;
    switch (answer.kind)
    {
    case proxy_answer_kind::body_chunk:
        if (!entry.first_event)
        {
            entry.first_event = daemon_.state.now - entry.sent_at;
        }
        else
        {
            entry.longest_gap = std::max(entry.longest_gap,
                                         daemon_.state.now - entry.last_event);
        }
        entry.last_event = daemon_.state.now;
        return;
    case proxy_answer_kind::end:
        entry.complete = true;
        return;
    case proxy_answer_kind::refused:
        entry.refused =
            guarantees_not_run(answer.code) && answer.retry_after.has_value();
        return;
    case proxy_answer_kind::complete:
    case proxy_answer_kind::begin:
    case proxy_answer_kind::aborted:
        return;
    }
}

void engine_simulator::cancel(attempt_number attempt)
{
    auto const same = [attempt](auto const &item)
    { return item.attempt == attempt; };
    for (auto &[id, item] : engines_)
    {
        std::erase_if(item.prompts, same);
        std::erase_if(item.streams, same);
    }
}

void engine_simulator::run_streams(engine &item, duration time)
{
    for (auto &stream : item.streams)
    {
        stream.next_event -= time;
        if (stream.next_event > duration(0))
        {
            continue;
        }
        stream.next_event += event_time;
        auto const number = events_per_stream - --stream.events_left;
        daemon_.reply_bytes(stream.attempt,
                            "id: " + std::to_string(number) + "\ndata: a\n\n");
        if (stream.events_left == 0)
        {
            daemon_.reply_ends(stream.attempt, proxy_event_kind::finished);
        }
    }
    std::erase_if(item.streams, [](open_stream const &stream)
                  { return stream.events_left == 0; });
}

void engine_simulator::run_engine(engine &item, double tokens_per_ms)
{
    auto left = to_seconds(step) * 1e3;
    while (left > 0 && !item.prompts.empty())
    {
        auto const next = std::ranges::min_element(item.prompts, {},
                                                   &pending_prompt::priority);
        auto const used = std::min(left, next->tokens / tokens_per_ms);
        next->tokens -= used * tokens_per_ms;
        left -= used;
        if (next->tokens > 1e-6)
        {
            break;
        }
        if (next->stage == proxy_stage::prefill)
        {
            daemon_.state.in.prefill_results.push_back(
                {next->attempt, "handle"});
        }
        else
        {
            daemon_.reply_head(next->attempt, 200);
            item.streams.push_back(
                {next->attempt, events_per_stream, event_time});
        }
        item.prompts.erase(next);
    }
    run_streams(item, from_seconds(std::max(left, 0.0) / 1e3));
}

void engine_simulator::leave_overdue_requests()
{
    for (auto &[number, entry] : callers_)
    {
        bool const open = !entry.first_event && !entry.refused && !entry.gone;
        auto const *request = daemon_.state.proxy.requests.find(number);
        if (open && request != nullptr &&
            request->begin_by <= daemon_.state.now)
        {
            entry.gone = true;
            daemon_.state.in.proxy_disconnects.push_back({number});
        }
    }
}

void engine_simulator::advance(duration time)
{
    auto const end = daemon_.state.now + time;
    while (daemon_.state.now < end)
    {
        auto const out = daemon_.advance(step);
        std::ranges::for_each(out.proxy_cancels, [this](proxy_cancel item)
                              { cancel(item.attempt); });
        std::ranges::for_each(out.proxy_calls, [this](proxy_call const &call)
                              { accept_call(call); });
        std::ranges::for_each(out.proxy_answers,
                              [this](proxy_answer const &answer)
                              { accept_answer(answer); });
        for (auto &[id, item] : engines_)
        {
            auto const *instance = daemon_.state.proxy.instances.find(id);
            if (instance != nullptr && !item.silent)
            {
                bool const prefill =
                    instance->definition.role == engine_role::prefill;
                run_engine(item, prefill ? prefill_speed : decode_speed);
            }
        }
        leave_overdue_requests();
    }
}

caller_outcomes engine_simulator::outcomes(std::string const &path) const
{
    caller_outcomes out;
    for (auto const &[number, entry] : callers_)
    {
        if (entry.path != path)
        {
            continue;
        }
        bool const in_time = entry.complete &&
                             *entry.first_event <= entry.target &&
                             entry.longest_gap <= entry.max_gap;
        out.in_time += in_time ? 1 : 0;
        out.late += entry.complete && !in_time ? 1 : 0;
        out.refused += entry.refused ? 1 : 0;
        out.unserved += !entry.complete && !entry.refused ? 1 : 0;
    }
    return out;
}

} // namespace agateledge
