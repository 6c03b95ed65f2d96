#include "hold_suspected_prompts.hpp"

#include "log_proxied_request.hpp"
#include "prompt_parts.hpp"
#include "proxy_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

constexpr char const *reason =
    "engines crashed as they began to answer prompts with a part of this one";

/// @return time until which the request is not sent to engines; none when it
///         may be sent
std::optional<instant> held_until(world const &w, proxy_request const &request)
{
    auto const &table = w.proxy.part_evidence.table;
    std::optional<instant> until;
    auto const prompt = prompt_key_of(request);
    for (auto const part : shared_parts_of(request))
    {
        until = std::max(until, table.suspected_until(part, w.now));
        until = std::max(until, table.held_until(part, prompt, w.now));
    }
    return until;
}

/// Logs which parts are suspected now and were not before.
void log_new_verdicts(world &w)
{
    auto &evidence = w.proxy.part_evidence;
    auto suspected = evidence.table.suspected_parts(w.now);
    std::vector<std::uint64_t> added;
    std::ranges::set_difference(suspected, evidence.suspected,
                                std::back_inserter(added));
    if (!added.empty())
    {
        log_proxied_request(w, log_level::warning, "prompt_parts_suspected",
                            {{"parts", part_ids_text(added)}});
    }
    evidence.suspected = std::move(suspected);
}

} // namespace

bool hold_if_suspected(world &w, request_number number)
{
    if (!w.proxy.part_evidence.table.has_losses())
    {
        return false;
    }
    auto const &request = *w.proxy.requests.find(number);
    auto const until = held_until(w, *request.content);
    if (!until)
    {
        return false;
    }
    ++w.proxy.metrics.held_prompts;
    if (request.runs > 0)
    {
        fail_proxied_request(w, number, reason);
        return true;
    }
    refuse_proxied_request(w, number, result_code::prompt_held, reason,
                           *until - w.now);
    return true;
}

void hold_suspected_prompts(world &w)
{
    if (!std::exchange(w.proxy.part_evidence.verdicts_may_have_changed, false))
    {
        return;
    }
    log_new_verdicts(w);
    std::vector<request_number> unanswered;
    for (auto const &[number, request] : w.proxy.requests.all())
    {
        if (request.attempt && !request.answering)
        {
            unanswered.push_back(number);
        }
    }
    std::ranges::sort(unanswered);
    std::ranges::for_each(unanswered, [&w](request_number number)
                          { hold_if_suspected(w, number); });
}

} // namespace agateledge
