#include "update_circuits.hpp"

#include "world.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

/// Consecutive failures that open a circuit.
constexpr int max_failures = 3;
/// Ratio of observed to predicted time above which an engine counts as degraded
/// and its circuit opens.
constexpr double degraded_slowness = 3.0;
/// A probe closes the circuit when the engine's slowness is below this ratio.
constexpr double healthy_slowness = 1.8;
/// Samples needed before slowness opens a circuit, and samples of a half-open
/// engine after which slowness opens its circuit again.
constexpr int min_samples = 4;
constexpr duration min_open_time = seconds(3);
constexpr duration max_open_time = seconds(30);
constexpr duration slow_start_time = seconds(3);
/// Limit of the open requests on an engine at the beginning of its slow start.
constexpr double slow_start_requests = 2;
/// Requests by which the limit grows in the course of the slow start.
constexpr double slow_start_growth = 40;

void open(world &w, circuit &target)
{
    target.phase = circuit_phase::open;
    target.open_time =
        std::clamp(target.open_time * 2, min_open_time, max_open_time);
    target.half_open_at = w.now + target.open_time;
    target.failures = 0;
    wake_at(w, target.half_open_at);
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

void check_slowness(world &w, engine_index index)
{
    auto &target = w.circuits.engine(index.value());
    auto &costs = w.costs.engine(index);
    auto const &name = w.engines.at(index).definition.name;
    if (target.phase == circuit_phase::closed &&
        costs.slowness > degraded_slowness && costs.samples >= min_samples)
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
        target.open_time = {};
        close(w, target);
        log_change(w, name, "circuit_closed");
    }
    else if (costs.samples >= target.samples_before_probe + min_samples)
    {
        open(w, target);
    }
}

void record_engine_event(world &w, engine_event const &event)
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
    check_slowness(w, index);
}

void record_service_reply(world &w, service_reply const &reply)
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
        target.open_time = {};
        close(w, target);
    }
}

/// An engine that becomes ready begins with a slow start.
void record_readiness(world &w, load_report const &report)
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

bool open_time_ended(circuit const &target, instant now)
{
    return target.phase == circuit_phase::open && target.half_open_at <= now;
}

void half_open_due_circuits(world &w)
{
    for (std::uint32_t i = 0; i < w.engines.all().size(); ++i)
    {
        auto &target = w.circuits.engine(i);
        if (open_time_ended(target, w.now))
        {
            auto &costs = w.costs.engine(engine_index(i));
            target.phase = circuit_phase::half_open;
            target.samples_before_probe = costs.samples;
        }
    }
    for (std::uint32_t i = 0; i < w.endpoints.all().size(); ++i)
    {
        auto &target = w.circuits.endpoint(i);
        if (open_time_ended(target, w.now))
        {
            target.phase = circuit_phase::half_open;
        }
    }
}

} // namespace

void update_circuits(world &w)
{
    std::ranges::for_each(w.in.load_reports, [&w](load_report const &report)
                          { record_readiness(w, report); });
    std::ranges::for_each(w.in.engine_events, [&w](engine_event const &event)
                          { record_engine_event(w, event); });
    std::ranges::for_each(w.in.service_replies, [&w](service_reply const &reply)
                          { record_service_reply(w, reply); });
    if (w.now >= w.circuits.next_check)
    {
        // Circuits stay open for seconds, so a scan every 100 ms is enough.
        w.circuits.next_check = w.now + milliseconds(100);
        half_open_due_circuits(w);
    }
}

bool circuit_allows(world const &w, request_state const &request,
                    engine_index index)
{
    auto const &target = w.circuits.engine(index.value());
    auto const open_requests = w.engines.at(index).local_requests;
    if (target.phase == circuit_phase::open)
    {
        return false;
    }
    if (target.phase == circuit_phase::half_open)
    {
        bool const urgent =
            request.kind.priority == 0 && !request.kind.may_wait;
        return open_requests == 0 && !urgent;
    }
    auto const progress =
        to_seconds(w.now - target.closed_at) / to_seconds(slow_start_time);
    return target.closed_at == instant{} || progress >= 1 ||
           open_requests < slow_start_requests + progress * slow_start_growth;
}

bool circuit_allows(world const &w, endpoint_index index)
{
    auto const &target = w.circuits.endpoint(index.value());
    auto const open_requests = w.endpoints.at(index).local_requests;
    return target.phase == circuit_phase::closed ||
           (target.phase == circuit_phase::half_open && open_requests == 0);
}

} // namespace agateledge
