#include "plan_engine_roles.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <tuple>

namespace agateledge
{

namespace
{

/// Delay of prefills above which more engines prefill. First events have
/// targets of some hundred milliseconds, most of which is the prefill itself.
constexpr duration congested_delay = milliseconds(60);
/// Delay below which engines may go back to decoding.
constexpr duration relaxed_delay = milliseconds(20);

/// Calls at an engine in decode role up to which the gaps between the events of
/// its streams are about those of a single one; a burst is allowed for.
constexpr double calls_per_decode_engine = 8;
constexpr double burst_factor = 1.5;
/// Calls at an engine in decode role above which more engines decode.
constexpr double crowded_calls = 16;

/// Minimum share of the engines in each role.
constexpr double min_role_share = 0.2;

/// Share of the engines that change at the same time. They take no work for the
/// time of the change.
constexpr double max_changed_share = 0.15;

/// Smallest service whose engines change: with fewer, the seconds that a change
/// takes cost more prefill than it gains.
constexpr std::size_t min_engines = 40;

int count_role(role_view const &view, engine_role role)
{
    return static_cast<int>(
        std::ranges::count(view.engines, role, &role_candidate::role));
}

/// @return engines of the role that can change, the slowest ones first: an
///         engine that decodes slowly makes the gaps of its streams longer;
///         of equal ones, those with the fewest calls
std::vector<role_candidate> candidates_of(role_view const &view,
                                          engine_role role)
{
    std::vector<role_candidate> out;
    std::ranges::copy_if(view.engines, std::back_inserter(out),
                         [role](role_candidate const &engine)
                         { return engine.role == role && engine.may_change; });
    // Estimates of engines of the same speed differ by some percent.
    constexpr double speed_steps = 3;
    std::ranges::stable_sort(out, {},
                             [](role_candidate const &engine)
                             {
                                 return std::tuple(
                                     std::round(engine.speed * speed_steps),
                                     engine.open_calls);
                             });
    return out;
}

role_changes first_of(std::vector<role_candidate> const &engines, int count,
                      engine_role role)
{
    role_changes out;
    out.role = role;
    auto const size = std::clamp(count, 0, static_cast<int>(engines.size()));
    std::transform(engines.begin(), engines.begin() + size,
                   std::back_inserter(out.instances),
                   [](role_candidate const &engine)
                   { return engine.instance; });
    return out;
}

} // namespace

role_changes plan_engine_roles(role_view const &view)
{
    if (view.engines.size() < min_engines)
    {
        return {};
    }
    auto const all = static_cast<double>(view.engines.size());
    auto const decoding = count_role(view, engine_role::decode);
    auto const prefilling = count_role(view, engine_role::prefill);
    auto const least = static_cast<int>(std::ceil(min_role_share * all));
    auto const step = static_cast<int>(std::ceil(max_changed_share * all));
    auto const calls = std::accumulate(
        view.engines.begin(), view.engines.end(), 0,
        [](int sum, role_candidate const &engine) {
            return sum +
                   (engine.role == engine_role::decode ? engine.open_calls : 0);
        });
    auto const needed =
        std::max(least, static_cast<int>(std::ceil(calls * burst_factor /
                                                   calls_per_decode_engine)));
    if (view.prefill_delay > congested_delay && decoding > needed)
    {
        return first_of(candidates_of(view, engine_role::decode),
                        std::min(decoding - needed, step),
                        engine_role::prefill);
    }
    bool const crowded = calls > crowded_calls * decoding;
    if (crowded && view.prefill_delay < relaxed_delay && prefilling > least)
    {
        auto engines = candidates_of(view, engine_role::prefill);
        std::ranges::reverse(engines);
        return first_of(engines, std::min(prefilling - least, step / 2),
                        engine_role::decode);
    }
    return {};
}

} // namespace agateledge
