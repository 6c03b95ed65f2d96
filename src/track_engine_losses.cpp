#include "track_engine_losses.hpp"

#include "exchange_loads.hpp"
#include "log_proxied_request.hpp"
#include "prompt_parts.hpp"
#include "world.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace agateledge
{

namespace
{

/// Time in which an engine that is still running is heard of on another call.
constexpr duration confirmation_time = milliseconds(300);

/// Time after a crash in which bytes that the engine had sent before still
/// arrive on other connections.
constexpr duration late_bytes_time = milliseconds(50);

/// Engines whose connections fail within `joint_failure_time` of each other,
/// from which on the failures have a common cause, such as the network.
constexpr std::size_t min_joint_failures = 3;
constexpr duration joint_failure_time = milliseconds(20);

/// Marks the failures near the last one if they hit too many engines at once to
/// be crashes of single engines.
void mark_joint_failures(std::vector<pending_engine_loss> &pending)
{
    auto const since = pending.back().at - joint_failure_time;
    auto const first =
        std::ranges::find_if(pending, [since](pending_engine_loss const &loss)
                             { return loss.at >= since; });
    std::set<std::uint64_t> engines;
    std::transform(first, pending.end(), std::inserter(engines, engines.end()),
                   [](pending_engine_loss const &loss) { return loss.engine; });
    if (engines.size() >= min_joint_failures)
    {
        std::for_each(first, pending.end(),
                      [](pending_engine_loss &loss) { loss.joint = true; });
    }
}

/// @return true when an engine was lost, or may have been lost, under the
/// prompt
bool was_lost_under(world const &w, std::vector<std::uint64_t> const &parts,
                    std::uint64_t prompt)
{
    auto const &evidence = w.proxy.part_evidence;
    bool const pending = std::ranges::any_of(
        evidence.pending, [prompt](pending_engine_loss const &loss)
        { return loss.prompt == prompt && !loss.joint; });
    return pending ||
           std::ranges::any_of(
               parts, [&](std::uint64_t part)
               { return evidence.table.was_lost_under(part, prompt, w.now); });
}

/// An engine that leaves closes its connections without a fault.
bool is_leaving(world const &w, instance_state const &instance)
{
    return !instance.definition.accepts_work ||
           w.proxy.is_leaving(instance.definition);
}

/// @return the key of the incarnation in reports; see `load_key_of`
std::uint64_t key_of(instance_incarnation const &incarnation)
{
    instance_definition engine;
    engine.id = incarnation.id;
    engine.started_at_ms = incarnation.started_at_ms;
    return load_key_of(engine);
}

bool was_heard_since(world const &w, pending_engine_loss const &loss)
{
    auto const *instance = w.proxy.instances.find(loss.instance);
    return instance != nullptr && instance->load_key == loss.engine &&
           instance->heard_at > loss.at + late_bytes_time;
}

void record_loss(world &w, pending_engine_loss const &loss, bool lost)
{
    ++w.proxy.metrics.connection_failures[lost         ? "engine_lost"
                                          : loss.joint ? "several_engines"
                                                       : "engine_running"];
    log_proxied_request(w, lost ? log_level::warning : log_level::info,
                        lost ? "engine_lost" : "connection_lost",
                        {{"instance", loss.instance},
                         {"request", loss.request},
                         {"parts", part_ids_text(loss.parts)},
                         {"head", loss.had_head ? "true" : "false"},
                         {"events", std::to_string(loss.events)}});
    if (!lost)
    {
        return;
    }
    auto &evidence = w.proxy.part_evidence;
    bool recorded = false;
    std::uint8_t place = 0;
    for (auto const part : loss.parts)
    {
        recorded |= evidence.table.record_loss(
            {part, loss.engine, loss.prompt, place++}, loss.at);
    }
    evidence.has_news |= recorded;
    evidence.verdicts_may_have_changed |= recorded;
}

} // namespace

duration record_connection_failure(world &w, proxy_attempt const &attempt,
                                   proxy_request_state const &request)
{
    auto const *instance = w.proxy.instances.find(attempt.instance);
    auto parts = shared_parts_of(*request.content);
    if (instance == nullptr || parts.empty() || is_leaving(w, *instance) ||
        attempt.stage == proxy_stage::prefill ||
        attempt.events >= min_events_of_sound_answer)
    {
        return duration(0);
    }
    auto const prompt = prompt_key_of(*request.content);
    bool const again = was_lost_under(w, parts, prompt);
    auto &pending = w.proxy.part_evidence.pending;
    pending.push_back({.instance = attempt.instance,
                       .engine = key_of(attempt.incarnation),
                       .request = request.content->caller_attempt,
                       .prompt = prompt,
                       .parts = std::move(parts),
                       .had_head = request.head != nullptr,
                       .events = attempt.events,
                       .at = w.now});
    wake_at(w, w.now + confirmation_time);
    return again ? confirmation_time : duration(0);
}

void record_sound_answer(world &w, proxy_request_state const &request)
{
    auto &evidence = w.proxy.part_evidence;
    for (auto const part : shared_parts_of(*request.content))
    {
        evidence.has_news |= evidence.table.record_success(part, w.now);
    }
}

void track_engine_losses(world &w)
{
    auto &pending = w.proxy.part_evidence.pending;
    if (!pending.empty() && pending.back().at == w.now)
    {
        mark_joint_failures(pending);
    }
    auto const due =
        std::ranges::find_if(pending, [&w](pending_engine_loss const &loss)
                             { return loss.at + confirmation_time > w.now; });
    std::for_each(
        pending.begin(), due,
        [&w](pending_engine_loss const &loss)
        { record_loss(w, loss, !loss.joint && !was_heard_since(w, loss)); });
    pending.erase(pending.begin(), due);
    if (!pending.empty())
    {
        wake_at(w, pending.front().at + confirmation_time);
    }
}

} // namespace agateledge
