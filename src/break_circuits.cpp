#include "break_circuits.hpp"

#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr int max_failures = 3;
/// An engine that takes this many times the predicted time is grey.
constexpr double grey_slowness = 3.0;
/// A probe closes the circuit when the engine is faster than this.
constexpr double healthy_slowness = 1.8;
constexpr int min_samples = 4;
constexpr duration first_pause = seconds(3);
constexpr duration longest_pause = seconds(30);
constexpr duration slow_start = seconds(3);
/// Requests that an engine may have at the begin of its slow start.
constexpr double slow_start_requests = 2;
/// Requests at which the slow start ends to matter.
constexpr double slow_start_range = 40;

void open(world &w, circuit &target)
{
    target.phase = circuit_phase::open;
    target.pause = std::clamp(target.pause * 2, first_pause, longest_pause);
    target.reopens_at = w.now + target.pause;
    target.failures = 0;
    wake_at(w, target.reopens_at);
}

void close(world const &w, circuit &target)
{
    target.phase = circuit_phase::closed;
    target.closed_at = w.now;
    target.failures = 0;
}

void log_change(world &w, std::string const &name, char const *event)
{
    log_entry entry;
    entry.level = log_level::warning;
    entry.event = event;
    entry.fields = {{"target", name}};
    w.out.log_entries.push_back(std::move(entry));
}

void count_failure(world &w, circuit &target, std::string const &name)
{
    ++target.failures;
    bool const probed = target.phase == circuit_phase::half_open;
    if (probed || (target.phase == circuit_phase::closed &&
                   target.failures >= max_failures))
    {
        open(w, target);
        log_change(w, name, "circuit_opened");
    }
}

void judge_speed(world &w, engine_index index)
{
    auto &target = w.circuits.engine(index.value());
    auto &costs = w.costs.engine(index);
    auto const &name = w.engines.at(index).definition.name;
    if (target.phase == circuit_phase::closed &&
        costs.slowness > grey_slowness && costs.samples >= min_samples)
    {
        open(w, target);
        log_change(w, name, "circuit_opened");
        return;
    }
    bool const probed = target.phase == circuit_phase::half_open &&
                        costs.samples > target.samples_before_probe;
    if (!probed)
    {
        return;
    }
    if (costs.slowness < healthy_slowness)
    {
        target.pause = {};
        close(w, target);
        log_change(w, name, "circuit_closed");
    }
    else if (costs.samples >= target.samples_before_probe + min_samples)
    {
        open(w, target);
    }
}

void judge_engine_event(world &w, engine_event const &event)
{
    auto const *attempt = w.attempts.find(event.attempt);
    if (attempt == nullptr || !attempt->engine)
    {
        return;
    }
    auto const index = *attempt->engine;
    if (event.kind == engine_event_kind::failed_before_send ||
        event.kind == engine_event_kind::failed_after_send)
    {
        count_failure(w, w.circuits.engine(index.value()),
                      w.engines.at(index).definition.name);
        return;
    }
    w.circuits.engine(index.value()).failures = 0;
    judge_speed(w, index);
}

void judge_reply(world &w, service_reply const &reply)
{
    auto const *attempt = w.attempts.find(reply.attempt);
    if (attempt == nullptr || !attempt->endpoint)
    {
        return;
    }
    auto const index = *attempt->endpoint;
    auto &target = w.circuits.endpoint(index.value());
    if (reply.kind != service_reply_kind::answered)
    {
        count_failure(w, target, w.endpoints.at(index).definition.name);
        return;
    }
    target.failures = 0;
    if (target.phase == circuit_phase::half_open)
    {
        target.pause = {};
        close(w, target);
    }
}

/// An engine that becomes ready begins with a slow start.
void note_readiness(world &w, load_report const &report)
{
    auto const index = w.engines.find(report.engine);
    if (!index)
    {
        return;
    }
    auto &target = w.circuits.engine(index->value());
    if (report.ready && !target.was_ready)
    {
        target.closed_at = w.now;
    }
    target.was_ready = report.ready;
}

bool pause_ended(circuit const &target, instant now)
{
    return target.phase == circuit_phase::open && target.reopens_at <= now;
}

void end_pauses(world &w)
{
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        auto &target = w.circuits.engine(i);
        if (pause_ended(target, w.now))
        {
            auto &costs = w.costs.engine(engine_index(i));
            target.phase = circuit_phase::half_open;
            target.samples_before_probe = costs.samples;
        }
    }
    for (std::uint32_t i = 0; i < w.endpoints.all().size(); ++i)
    {
        auto &target = w.circuits.endpoint(i);
        if (pause_ended(target, w.now))
        {
            target.phase = circuit_phase::half_open;
        }
    }
}

} // namespace

void break_circuits(world &w)
{
    std::ranges::for_each(w.in.load_reports, [&w](load_report const &report)
                          { note_readiness(w, report); });
    std::ranges::for_each(w.in.engine_events, [&w](engine_event const &event)
                          { judge_engine_event(w, event); });
    std::ranges::for_each(w.in.service_replies, [&w](service_reply const &reply)
                          { judge_reply(w, reply); });
    if (w.now >= w.circuits.next_check)
    {
        // Pauses last seconds, so that a scan ten times a second is enough.
        w.circuits.next_check = w.now + milliseconds(100);
        end_pauses(w);
    }
}

bool circuit_allows(world const &w, request_state const &request,
                    engine_index index)
{
    auto const &target = w.circuits.engine(index.value());
    auto const own = w.engines.at(index).own_requests;
    if (target.phase == circuit_phase::open)
    {
        return false;
    }
    if (target.phase == circuit_phase::half_open)
    {
        bool const urgent =
            request.kind.priority == 0 && !request.kind.may_wait;
        return own == 0 && !urgent;
    }
    auto const warm =
        to_seconds(w.now - target.closed_at) / to_seconds(slow_start);
    return target.closed_at == instant{} || warm >= 1 ||
           own < slow_start_requests + warm * slow_start_range;
}

bool circuit_allows(world const &w, endpoint_index index)
{
    auto const &target = w.circuits.endpoint(index.value());
    auto const own = w.endpoints.at(index).own_requests;
    return target.phase == circuit_phase::closed ||
           (target.phase == circuit_phase::half_open && own == 0);
}

} // namespace agateledge
