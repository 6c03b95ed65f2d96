#include "account_shares.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace agateledge
{

namespace
{

/// What is requested may exceed what is done by this factor without scarcity:
/// requests that have just arrived are not sent yet.
constexpr double scarce_above = 1.05;

/// Retry-After time of an account at its share, as for requests whose deadline
/// cannot be met; it grows with the excess and with early repeats up to the
/// maximum, after which most callers have left.
constexpr duration min_retry_after = milliseconds(500);
constexpr double max_excess_factor = 4;
constexpr double early_repeat_factor = 3;
constexpr duration max_retry_after = seconds(8);

} // namespace

double fair_level(std::vector<account_demand> demands)
{
    constexpr double unlimited = std::numeric_limits<double>::infinity();
    auto capacity = 0.0;
    auto requested = 0.0;
    auto accounts = 0.0;
    for (auto &item : demands)
    {
        capacity += item.work;
        requested += item.demand;
        accounts += item.accounts;
    }
    if (requested <= capacity * scarce_above)
    {
        return unlimited;
    }
    std::ranges::sort(demands, {},
                      [](account_demand const &item)
                      { return item.demand / item.accounts; });
    for (auto const &item : demands)
    {
        auto const level = capacity / accounts;
        if (item.demand / item.accounts >= level)
        {
            return level;
        }
        capacity -= item.demand;
        accounts -= item.accounts;
    }
    return unlimited;
}

double admitted_share(double demand, double level, double scarcity)
{
    return demand <= level ? 1 : 1 - scarcity * (1 - level / demand);
}

duration share_retry_after(double demand, double level, double early_repeats)
{
    auto const excess = level > 0
                            ? std::clamp(demand / level, 1.0, max_excess_factor)
                            : max_excess_factor;
    auto const repeats =
        1 + early_repeat_factor * std::clamp(early_repeats, 0.0, 1.0);
    return std::min<duration>(
        from_seconds(to_seconds(min_retry_after) * excess * repeats),
        max_retry_after);
}

std::vector<request_number> fair_order(std::vector<waiting_request> waiting)
{
    std::unordered_map<std::uint64_t, double> queued;
    for (auto &item : waiting)
    {
        auto &sum = queued[item.account];
        sum += item.work;
        item.account_work += sum;
    }
    std::ranges::stable_sort(waiting, {},
                             [](waiting_request const &item) {
                                 return std::tuple(item.priority, !item.in_time,
                                                   item.account_work);
                             });
    std::vector<request_number> out;
    out.reserve(waiting.size());
    std::ranges::transform(waiting, std::back_inserter(out),
                           &waiting_request::number);
    return out;
}

} // namespace agateledge
