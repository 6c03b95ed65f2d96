#include "load_history.hpp"

#include <algorithm>
#include <iterator>

namespace agateledge
{

namespace
{

/// Time from the first known load until decisions use it: two bursts, which
/// change every 2.8 s.
constexpr duration time_until_known = seconds(6);

/// Time over which the load is averaged: three bursts.
constexpr duration mean_time = seconds(9);

/// Time for which a high load counts, so that engines are kept over a lull.
constexpr duration kept_time = seconds(18);

} // namespace

void load_history::add(activity_rates const &rates, double open_requests,
                       instant now)
{
    if (!known_since_ && rates.unread_tokens <= 0)
    {
        return;
    }
    known_since_ = known_since_.value_or(now);
    while (!samples_.empty() && samples_.front().at < now - kept_time)
    {
        samples_.pop_front();
    }
    samples_.push_back({now, rates, open_requests, 0});
    double tokens = 0;
    int count = 0;
    for (auto const &item : samples_)
    {
        bool const is_recent = item.at > now - mean_time;
        tokens += is_recent ? item.rates.unread_tokens : 0;
        count += is_recent ? 1 : 0;
    }
    samples_.back().mean_tokens_per_s = tokens / count;
}

void load_history::clear()
{
    samples_.clear();
    known_since_.reset();
}

std::optional<service_load> load_history::load(instant now) const
{
    if (!known_since_ || now < *known_since_ + time_until_known)
    {
        return std::nullopt;
    }
    service_load out;
    double requests = 0;
    double failing = 0;
    for (auto const &item : samples_)
    {
        // The first means are of single samples and may lie in a burst.
        bool const is_settled = item.at >= *known_since_ + time_until_known;
        if (is_settled)
        {
            out.mean_tokens_per_s =
                std::max(out.mean_tokens_per_s, item.mean_tokens_per_s);
        }
        out.peak_tokens_per_s =
            std::max(out.peak_tokens_per_s, item.rates.unread_tokens);
        out.peak_open_requests =
            std::max(out.peak_open_requests, item.open_requests);
        bool const is_recent = item.at > now - mean_time;
        requests += is_recent ? item.rates.requests : 0;
        failing += is_recent ? item.rates.failing : 0;
    }
    if (!samples_.empty())
    {
        out.mean_tokens_per_s =
            std::max(out.mean_tokens_per_s, samples_.back().mean_tokens_per_s);
    }
    // Requests that are refused before they are sent count as failing only.
    auto const all = std::max(requests, failing);
    out.failing_share = all > 0 ? failing / all : 0;
    return out;
}

} // namespace agateledge
