#include "plan_capacity.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <utility>

namespace agateledge
{

namespace
{

/// Largest ratio of the load in a burst to the mean load in the deployments.
constexpr double burst_factor = 1.9;

/// Share of its prefill speed or slots up to which an engine is planned to be
/// used; above it, queues make first events miss their targets.
constexpr double max_utilisation = 0.8;

/// Share of the need that stays ordinary, so that a service is not without
/// engines when reclaims of several data centres follow one another.
constexpr double ordinary_share = 0.25;

/// A lower need takes effect only below this share of the previous one, so that
/// noise in the load causes no orders.
constexpr double need_hysteresis = 0.9;

/// Share of a service's serving engines that one order removes at most, and the
/// time until the next one. The directory is read about every 1.7 s, so each
/// order is planned from the effect of the previous one.
constexpr double max_removed_share = 0.2;
constexpr duration removal_interval = seconds(2);

/// Minimum times between opposite orders of a group. An engine that is ordered
/// in error costs less than one that is missing.
constexpr duration pause_before_raise = seconds(5);
constexpr duration pause_before_removal = seconds(8);

/// Replacing an ordinary engine pays for both while the new one boots and the
/// old one drains; the price difference must repay that within `payback_time`.
constexpr duration drain_time = seconds(3);
constexpr duration payback_time = seconds(20);

/// Time beyond the boot time in which ordered engines may appear in the
/// directory: one read of it and the start of an engine on a busy host.
constexpr duration boot_slack = seconds(4);

/// Minimum shares of the engines that remain in each role. Services start with
/// 35% in the prefill role, and the role of a new engine is not known.
constexpr double min_prefill_share = 0.2;
constexpr double min_decode_share = 0.35;

/// Role mix that is assumed while no engine serves.
constexpr double usual_prefill_share = 0.35;

/// Above this share of late and refused requests the total is not lowered.
constexpr double max_failing_share = 0.02;

/// Above this share, with at least this utilisation by the mean load, the speed
/// is taken to be overestimated: the need exceeds the present number by the
/// failing share, at least by `min_overload_growth`. Refused requests are not
/// part of the measured load.
constexpr double overload_failing_share = 0.05;
constexpr double overload_utilisation = 0.5;
constexpr double min_overload_growth = 0.1;

using group_numbers = std::vector<int>;

double tokens_per_s(role_speeds const &speeds, role_counts const &counts)
{
    return speeds.prefill * counts.prefill + speeds.decode * counts.decode +
           speeds.mixed * counts.mixed;
}

role_counts sum(role_counts const &a, role_counts const &b)
{
    return {a.prefill + b.prefill, a.decode + b.decode, a.mixed + b.mixed};
}

role_counts serving_engines(capacity_view const &view)
{
    return std::accumulate(view.groups.begin(), view.groups.end(),
                           role_counts{},
                           [](role_counts const &all, capacity_group const &g)
                           { return sum(all, g.serving); });
}

bool is_unavailable(capacity_view const &view, capacity_group const &group)
{
    return view.now < group.unavailable_until;
}

bool may_rise(capacity_view const &view, capacity_group const &group)
{
    bool const just_lowered =
        group.lowered_at && view.now < *group.lowered_at + pause_before_raise;
    return !is_unavailable(view, group) && !just_lowered;
}

/// @return price of an engine second of the group
double price_of(capacity_view const &view, capacity_group const &group)
{
    auto const found = view.limits.prices.find(group.data_centre);
    auto const price = found == view.limits.prices.end() ? 1 : found->second;
    return group.reclaimable ? price * view.limits.reclaimable_price : price;
}

group_numbers expected_numbers(capacity_view const &view)
{
    group_numbers out(view.groups.size());
    std::transform(view.groups.begin(), view.groups.end(), out.begin(),
                   [&view](capacity_group const &group)
                   { return expected_engines(view, group); });
    return out;
}

/// Engines and prefill speed that the load needs.
struct requirement
{
    /// With a burst, and at the mean load.
    int engines = 1;
    int engines_at_mean = 1;
    double tokens_per_s = 0;
    double tokens_per_s_at_mean = 0;
};

requirement requirement_of(capacity_view const &view)
{
    auto const &load = *view.load;
    auto const serving = serving_engines(view);
    auto const count = serving.total();
    auto const usual = usual_prefill_share * view.speeds.prefill +
                       (1 - usual_prefill_share) * view.speeds.decode;
    auto const mean_speed =
        count > 0 ? tokens_per_s(view.speeds, serving) / count : usual;
    auto const speed = std::max(mean_speed, 1.0);
    requirement out;
    out.tokens_per_s_at_mean = load.mean_tokens_per_s / max_utilisation;
    out.tokens_per_s = std::max(load.mean_tokens_per_s * burst_factor,
                                load.peak_tokens_per_s) /
                       max_utilisation;
    auto const decoding = serving.decode + serving.mixed;
    auto const decode_share = decoding > 0 ? static_cast<double>(decoding) /
                                                 static_cast<double>(count)
                                           : 1 - usual_prefill_share;
    // The peak of the open requests already contains bursts.
    auto const for_streams = view.slots > 0 ? load.peak_open_requests /
                                                  (view.slots * decode_share) /
                                                  max_utilisation
                                            : 0.0;
    auto const with_burst = std::max(out.tokens_per_s / speed, for_streams);
    out.engines = std::max(static_cast<int>(std::ceil(with_burst)), 1);
    out.engines_at_mean = std::max(
        static_cast<int>(std::ceil(std::max(out.tokens_per_s_at_mean / speed,
                                            for_streams / burst_factor))),
        1);
    bool const overloaded =
        load.failing_share > overload_failing_share &&
        load.mean_tokens_per_s > overload_utilisation * speed * count;
    if (overloaded)
    {
        auto const growth = std::max(load.failing_share, min_overload_growth);
        out.engines = std::max(
            out.engines, static_cast<int>(std::ceil((1 + growth) * count)));
    }
    bool const little_less =
        out.engines < view.needed_before &&
        out.engines >= need_hysteresis * view.needed_before;
    out.engines = little_less ? view.needed_before : out.engines;
    return out;
}

/// Event after which the rest of the engines must suffice.
struct scenario
{
    /// Data centre that loses engines; empty for none.
    std::string data_centre;
    /// Only its reclaimable engines are lost.
    bool reclaim = false;
    int engines = 0;
    double tokens_per_s = 0;

    bool keeps(capacity_group const &group) const
    {
        return group.data_centre != data_centre ||
               (reclaim && !group.reclaimable);
    }
};

/// @return the scenarios; the first one is that all engines are present
std::vector<scenario> scenarios_of(capacity_view const &view,
                                   requirement const &need)
{
    std::vector<scenario> out{{"", false, need.engines, need.tokens_per_s}};
    for (auto const &group : view.groups)
    {
        if (group.reclaimable)
        {
            out.push_back(
                {group.data_centre, true, need.engines, need.tokens_per_s});
        }
        else if (view.groups.size() > 2)
        {
            out.push_back({group.data_centre, false, need.engines_at_mean,
                           need.tokens_per_s_at_mean});
        }
    }
    return out;
}

int remaining_engines(capacity_view const &view, group_numbers const &numbers,
                      scenario const &event)
{
    int out = 0;
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        out += event.keeps(view.groups[i]) ? numbers[i] : 0;
    }
    return out;
}

bool reclaimable_pays(capacity_limits const &limits)
{
    auto const price = limits.reclaimable_price;
    auto const overlap_s = to_seconds(limits.boot_time + drain_time);
    return price < 1 &&
           overlap_s * price <= to_seconds(payback_time) * (1 - price);
}

/// Data centre with its two groups.
struct group_pair
{
    std::size_t ordinary = 0;
    std::size_t reclaimable = 0;
    double price = 0;
};

/// @return the data centres, the cheapest first
std::vector<group_pair> pairs_by_price(capacity_view const &view)
{
    std::map<std::string, group_pair> pairs;
    for (std::size_t i = 0; i < view.groups.size(); ++i)
    {
        auto const &group = view.groups[i];
        auto &pair = pairs[group.data_centre];
        (group.reclaimable ? pair.reclaimable : pair.ordinary) = i;
        if (!group.reclaimable)
        {
            pair.price = price_of(view, group);
        }
    }
    std::vector<group_pair> out;
    std::transform(pairs.begin(), pairs.end(), std::back_inserter(out),
                   [](auto const &entry) { return entry.second; });
    std::stable_sort(out.begin(), out.end(),
                     [](group_pair const &a, group_pair const &b)
                     { return a.price < b.price; });
    return out;
}

/// Spreads engines evenly; the remainder goes to the cheapest data centres.
void spread_ordinary(std::vector<group_pair> const &pairs, int engines,
                     group_numbers &numbers)
{
    auto const count = static_cast<int>(pairs.size());
    for (int i = 0; i < count; ++i)
    {
        auto const &pair = pairs[static_cast<std::size_t>(i)];
        numbers[pair.ordinary] = engines / count + (i < engines % count);
    }
}

double cost_of(capacity_view const &view, group_numbers const &numbers)
{
    double out = 0;
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        out += numbers[i] * price_of(view, view.groups[i]);
    }
    return out;
}

/// @return the cheapest numbers that carry the load when a data centre's
///         reclaimable engines are lost: for each set of data centres, the
///         lowest cost is that of equal numbers of reclaimable engines in them
group_numbers cheapest_numbers(capacity_view const &view, int engines)
{
    auto const pairs = pairs_by_price(view);
    group_numbers best(view.groups.size());
    spread_ordinary(pairs, engines, best);
    if (!reclaimable_pays(view.limits))
    {
        return best;
    }
    auto const base = static_cast<int>(std::ceil(ordinary_share * engines));
    for (int used = 2; used <= static_cast<int>(pairs.size()); ++used)
    {
        group_numbers numbers(view.groups.size());
        spread_ordinary(pairs, base, numbers);
        auto const others = used - 1;
        auto const each = (engines - base + others - 1) / others;
        std::for_each_n(pairs.begin(), used,
                        [&](group_pair const &pair)
                        { numbers[pair.reclaimable] = each; });
        if (cost_of(view, numbers) < cost_of(view, best))
        {
            best = std::move(numbers);
        }
    }
    return best;
}

/// Numbers under construction, within the limits of the configuration and of
/// the groups that must not rise at present.
class number_builder
{
public:
    number_builder(capacity_view const &view, group_numbers numbers)
        : view_(view), expected_(expected_numbers(view)),
          numbers_(std::move(numbers))
    {
        for (std::size_t i = 0; i < numbers_.size(); ++i)
        {
            bool const fixed = !may_rise(view_, view_.groups[i]);
            numbers_[i] =
                fixed ? std::min(numbers_[i], expected_[i]) : numbers_[i];
        }
        for (std::size_t i = 0; i < numbers_.size(); ++i)
        {
            auto const excess = in_data_centre(i) - view_.limits.max_instances;
            numbers_[i] -= std::clamp(excess, 0, numbers_[i]);
        }
    }

    /// Adds engines until each data centre has its minimum.
    void fill_minimum()
    {
        for (std::size_t i = 0; i < numbers_.size(); ++i)
        {
            bool const preferred =
                view_.groups[i].reclaimable == reclaimable_pays(view_.limits);
            auto const missing = view_.limits.min_instances - in_data_centre(i);
            if (preferred && missing > 0)
            {
                numbers_[i] += missing;
            }
        }
    }

    /// Adds the engines that help most for their price until the scenarios are
    /// met or no group may have more.
    ///
    /// @param new_engines engines beyond those that are expected may be added
    void meet(std::vector<scenario> const &events, bool new_engines)
    {
        while (auto const next = best_addition(events, new_engines))
        {
            ++numbers_[*next];
        }
    }

    group_numbers const &numbers() const { return numbers_; }

private:
    int total() const
    {
        return std::accumulate(numbers_.begin(), numbers_.end(), 0);
    }

    int in_data_centre(std::size_t index) const
    {
        int out = 0;
        for (std::size_t i = 0; i < numbers_.size(); ++i)
        {
            out +=
                view_.groups[i].data_centre == view_.groups[index].data_centre
                    ? numbers_[i]
                    : 0;
        }
        return out;
    }

    bool may_add(std::size_t index, bool new_engines) const
    {
        auto const &group = view_.groups[index];
        bool const is_expected = numbers_[index] < expected_[index];
        // The configured total suits the peaks. What the load seems to need
        // beyond it, as long as caches are cold, is left to reclaimable
        // engines.
        bool const allowed = group.reclaimable
                                 ? reclaimable_pays(view_.limits)
                                 : view_.configured_total == 0 ||
                                       total() < view_.configured_total;
        return in_data_centre(index) < view_.limits.max_instances &&
               (is_expected ||
                (new_engines && allowed && may_rise(view_, group)));
    }

    std::optional<std::size_t>
    best_addition(std::vector<scenario> const &events, bool new_engines) const
    {
        std::optional<std::size_t> best;
        double best_price = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < numbers_.size(); ++i)
        {
            auto const helped = std::count_if(
                events.begin(), events.end(),
                [&](scenario const &event)
                {
                    return event.keeps(view_.groups[i]) &&
                           remaining_engines(view_, numbers_, event) <
                               event.engines;
                });
            auto const price =
                price_of(view_, view_.groups[i]) /
                static_cast<double>(std::max<std::ptrdiff_t>(helped, 1));
            if (helped > 0 && may_add(i, new_engines) && price < best_price)
            {
                best = i;
                best_price = price;
            }
        }
        return best;
    }

    capacity_view const &view_;
    group_numbers expected_;
    group_numbers numbers_;
};

/// @return the numbers that the load calls for
group_numbers target_numbers(capacity_view const &view, requirement const &need)
{
    auto const events = scenarios_of(view, need);
    number_builder builder(view, cheapest_numbers(view, need.engines));
    builder.fill_minimum();
    // Engines that serve or are coming first: a cheaper one elsewhere would be
    // paid for beside them until they have drained.
    builder.meet({events.front()}, false);
    builder.meet({events.front()}, true);
    // After a reclaim, none can be ordered for some seconds. Other engines
    // would be the reserve for a short time only, unless the shortage lasts.
    bool const is_short_time = std::any_of(
        view.groups.begin(), view.groups.end(),
        [&view](capacity_group const &group)
        { return is_unavailable(view, group) && group.refusals <= 1; });
    builder.meet(events, !is_short_time);
    return builder.numbers();
}

planned_order order_for(capacity_view const &view, std::size_t index,
                        int engines, std::vector<order_reason> reasons)
{
    auto const &group = view.groups[index];
    return {{view.service, group.data_centre, engines, group.reclaimable},
            expected_engines(view, group),
            std::move(reasons)};
}

/// @return highest number that the maximum of the data centre leaves to a group
int room_for(capacity_view const &view, std::size_t index)
{
    int others = 0;
    for (std::size_t i = 0; i < view.groups.size(); ++i)
    {
        auto const &group = view.groups[i];
        if (i != index && group.data_centre == view.groups[index].data_centre)
        {
            others += std::max(group.serving.total(),
                               group.ordered.value_or(group.serving.total()));
        }
    }
    return std::max(view.limits.max_instances - others, 0);
}

std::vector<order_reason> raise_reasons(capacity_view const &view,
                                        requirement const &need,
                                        std::size_t index)
{
    auto const expected = expected_numbers(view);
    auto const events = scenarios_of(view, need);
    auto const is_short = [&](scenario const &event)
    { return remaining_engines(view, expected, event) < event.engines; };
    std::vector<order_reason> out;
    if (is_short(events.front()))
    {
        out.push_back(order_reason::load);
    }
    else if (std::any_of(events.begin(), events.end(), is_short))
    {
        out.push_back(order_reason::reserve);
    }
    if (out.empty())
    {
        out.push_back(view.groups[index].reclaimable ? order_reason::cheaper
                                                     : order_reason::minimum);
    }
    return out;
}

void add_raises(capacity_view const &view, requirement const &need,
                group_numbers const &target, capacity_plan &plan)
{
    for (std::size_t i = 0; i < target.size(); ++i)
    {
        auto const &group = view.groups[i];
        auto const engines = std::min(target[i], room_for(view, i));
        if (engines > expected_engines(view, group) && may_rise(view, group))
        {
            plan.orders.push_back(
                order_for(view, i, engines, raise_reasons(view, need, i)));
        }
    }
}

/// @return the engines that remain for certain in each role when the platform
///         removes `removed` engines of unknown roles: those that it may take,
///         the fastest first
role_counts slowest_remaining(role_counts counts, int removed)
{
    for (auto *count : {&counts.prefill, &counts.mixed, &counts.decode})
    {
        auto const taken = std::min(removed, *count);
        *count -= taken;
        removed -= taken;
    }
    return counts;
}

/// @return true when the roles are present even if the removed engines are all
///         of one role
bool keeps_roles(role_counts const &all, role_counts const &group, int removed)
{
    if (all.prefill + all.decode == 0)
    {
        return true;
    }
    auto const left = all.total() - removed;
    auto const prefill = all.prefill + all.mixed -
                         std::min(removed, group.prefill + group.mixed);
    auto const decode =
        all.decode + all.mixed - std::min(removed, group.decode + group.mixed);
    return prefill >= std::max(min_prefill_share * left, 1.0) &&
           decode >= std::max(min_decode_share * left, 1.0);
}

/// @return true when the engines that serve now meet each scenario without
///         `removed` engines of the group
bool can_remove(capacity_view const &view, std::vector<scenario> const &events,
                std::size_t index, int removed)
{
    auto const all = serving_engines(view);
    // Engines go only when at least as many others serve.
    if (all.total() - removed < removed ||
        !keeps_roles(all, view.groups[index].serving, removed))
    {
        return false;
    }
    return std::all_of(
        events.begin(), events.end(),
        [&](scenario const &event)
        {
            role_counts left;
            for (std::size_t i = 0; i < view.groups.size(); ++i)
            {
                auto const &group = view.groups[i];
                auto const counts =
                    slowest_remaining(group.serving, i == index ? removed : 0);
                left = event.keeps(group) ? sum(left, counts) : left;
            }
            bool const has_roles =
                all.prefill + all.decode == 0 ||
                (left.prefill + left.mixed > 0 && left.decode + left.mixed > 0);
            return left.total() >= event.engines && has_roles &&
                   tokens_per_s(view.speeds, left) >= event.tokens_per_s;
        });
}

/// @return true when ordered engines do not serve yet
bool any_coming(capacity_view const &view)
{
    return std::any_of(
        view.groups.begin(), view.groups.end(),
        [&view](capacity_group const &group)
        { return expected_engines(view, group) > group.serving.total(); });
}

/// @return true when the total may be lowered by `removed` engines: while
///         requests fail, only engines beyond the configured total may go
bool may_lower_total(capacity_view const &view, int removed)
{
    bool const fails =
        !view.load || view.load->failing_share > max_failing_share;
    auto const least = view.load ? view.configured_total : view.held_total;
    return !fails || serving_engines(view).total() - removed >= least;
}

/// @return number of engines that may be removed from the group now
int removable_engines(capacity_view const &view,
                      std::vector<scenario> const &events, std::size_t index,
                      int target)
{
    auto const &group = view.groups[index];
    auto const serving = group.serving.total();
    bool const is_settled = expected_engines(view, group) == serving;
    bool const just_raised =
        group.raised_at && view.now < *group.raised_at + pause_before_removal;
    // Ordinary engines stay until those that replace them serve.
    bool const is_awaited = !group.reclaimable && any_coming(view);
    if (!is_settled || just_raised || is_awaited)
    {
        return 0;
    }
    auto const step = std::max(
        static_cast<int>(max_removed_share * serving_engines(view).total()), 1);
    auto removed = std::min(serving - target, step);
    while (removed > 0 && !(may_lower_total(view, removed) &&
                            can_remove(view, events, index, removed)))
    {
        --removed;
    }
    return removed;
}

void add_removal(capacity_view const &view, std::vector<scenario> const &events,
                 group_numbers const &target, order_reason reason,
                 capacity_plan &plan)
{
    bool const waits =
        std::any_of(view.groups.begin(), view.groups.end(),
                    [&view](capacity_group const &group)
                    {
                        return group.lowered_at &&
                               view.now < *group.lowered_at + removal_interval;
                    });
    if (waits)
    {
        return;
    }
    std::vector<std::size_t> by_price(view.groups.size());
    std::iota(by_price.begin(), by_price.end(), std::size_t{0});
    std::stable_sort(by_price.begin(), by_price.end(),
                     [&view](std::size_t a, std::size_t b) {
                         return price_of(view, view.groups[a]) >
                                price_of(view, view.groups[b]);
                     });
    for (auto const index : by_price)
    {
        auto const removed =
            removable_engines(view, events, index, target[index]);
        if (removed > 0)
        {
            auto const left = view.groups[index].serving.total() - removed;
            plan.orders.push_back(order_for(view, index, left, {reason}));
            return;
        }
    }
}

/// @return true when the service has engines in one role only, and none are
///         coming
bool lacks_role(capacity_view const &view)
{
    auto const serving = serving_engines(view);
    auto const expected = expected_numbers(view);
    auto const total = std::accumulate(expected.begin(), expected.end(), 0);
    return serving.mixed == 0 && total <= serving.total() &&
           (serving.prefill == 0) != (serving.decode == 0);
}

/// Orders one more engine in the cheapest group that may rise.
void add_for_role(capacity_view const &view, capacity_plan &plan)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < view.groups.size(); ++i)
    {
        auto const &group = view.groups[i];
        bool const possible =
            may_rise(view, group) &&
            (!group.reclaimable || reclaimable_pays(view.limits)) &&
            room_for(view, i) > expected_engines(view, group);
        if (possible && (!best || price_of(view, group) <
                                      price_of(view, view.groups[*best])))
        {
            best = i;
        }
    }
    if (best)
    {
        auto const engines = expected_engines(view, view.groups[*best]) + 1;
        plan.orders.push_back(
            order_for(view, *best, engines, {order_reason::role}));
    }
}

capacity_plan plan_for_load(capacity_view const &view)
{
    auto const need = requirement_of(view);
    capacity_plan out;
    out.needed = need.engines;
    auto const target = target_numbers(view, need);
    add_raises(view, need, target, out);
    if (out.orders.empty() && lacks_role(view))
    {
        add_for_role(view, out);
    }
    if (out.orders.empty())
    {
        add_removal(view, scenarios_of(view, need), target,
                    order_reason::surplus, out);
    }
    return out;
}

/// Replaces ordinary engines by reclaimable ones while the load is not known.
/// The total is kept. The deployment bears the loss of one data centre, so what
/// the reclaim of one leaves suffices if it is as much.
capacity_plan plan_to_replace(capacity_view const &view)
{
    capacity_plan out;
    auto const pairs = pairs_by_price(view);
    auto const data_centres = static_cast<int>(pairs.size());
    if (!reclaimable_pays(view.limits) || data_centres < 2)
    {
        return out;
    }
    std::vector<scenario> events{{"", false, view.held_total, 0}};
    auto const left = view.held_total * (data_centres - 1) / data_centres;
    auto const expected = expected_numbers(view);
    auto target = expected;
    for (auto const &pair : pairs)
    {
        auto const &ordinary = view.groups[pair.ordinary];
        auto const all = view.held_total / data_centres;
        auto const kept = static_cast<int>(std::ceil(ordinary_share * all));
        target[pair.ordinary] = std::min(expected[pair.ordinary], kept);
        target[pair.reclaimable] =
            std::max(expected[pair.reclaimable], all - kept);
        events.push_back({ordinary.data_centre, true, left, 0});
        auto const &group = view.groups[pair.reclaimable];
        auto const engines = std::min(target[pair.reclaimable],
                                      room_for(view, pair.reclaimable));
        if (engines > expected[pair.reclaimable] && may_rise(view, group))
        {
            out.orders.push_back(order_for(view, pair.reclaimable, engines,
                                           {order_reason::cheaper}));
        }
    }
    if (out.orders.empty())
    {
        add_removal(view, events, target, order_reason::cheaper, out);
    }
    return out;
}

/// Orders lost engines again, and ordinary ones for those that are not to be
/// had at the moment.
capacity_plan plan_to_hold(capacity_view const &view)
{
    auto const expected = expected_numbers(view);
    int missing =
        view.held_total - std::accumulate(expected.begin(), expected.end(), 0);
    int unavailable = 0;
    group_numbers numbers = expected;
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        auto const &group = view.groups[i];
        auto const lost =
            std::clamp(group.held - expected[i], 0, std::max(missing, 0));
        bool const again = may_rise(view, group);
        numbers[i] += again ? lost : 0;
        missing -= again ? lost : 0;
        unavailable += is_unavailable(view, group) ? lost : 0;
    }
    unavailable = std::min(unavailable, missing);
    for (auto const &pair : pairs_by_price(view))
    {
        auto const &group = view.groups[pair.ordinary];
        auto const room =
            room_for(view, pair.ordinary) - numbers[pair.ordinary];
        auto const added = may_rise(view, group)
                               ? std::clamp(unavailable, 0, std::max(room, 0))
                               : 0;
        numbers[pair.ordinary] += added;
        unavailable -= added;
    }
    capacity_plan out;
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        if (numbers[i] > expected[i])
        {
            out.orders.push_back(
                order_for(view, i, numbers[i], {order_reason::lost}));
        }
    }
    return out;
}

} // namespace

std::string_view name_of(order_reason reason)
{
    constexpr std::array<std::string_view, 7> names{
        "load", "reserve", "minimum", "cheaper", "surplus", "lost", "role"};
    return names.at(static_cast<std::size_t>(reason));
}

int expected_engines(capacity_view const &view, capacity_group const &group)
{
    auto const serving = group.serving.total();
    if (!group.ordered || *group.ordered < serving)
    {
        return group.ordered.value_or(serving);
    }
    bool const may_come =
        !is_unavailable(view, group) &&
        view.now < group.ordered_at + view.limits.boot_time + boot_slack;
    return may_come ? *group.ordered : serving;
}

capacity_plan plan_capacity(capacity_view const &view)
{
    if (view.groups.empty())
    {
        return {};
    }
    if (view.load)
    {
        return plan_for_load(view);
    }
    auto const plan = plan_to_hold(view);
    // A load that was known may need more than a reclaim would leave.
    bool const may_replace = plan.orders.empty() && !view.load_was_known;
    return may_replace ? plan_to_replace(view) : plan;
}

} // namespace agateledge
