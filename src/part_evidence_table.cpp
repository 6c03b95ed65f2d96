#include "part_evidence_table.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <tuple>

namespace agateledge
{

namespace
{

/// Time for which a loss counts. It also ends a wrong suspicion, because no
/// engine answers a suspected part and thereby clears it.
constexpr duration loss_lifetime = seconds(120);

/// Time for which a success makes a later suspicion harder.
constexpr duration success_lifetime = seconds(60);

/// Engines lost at different moments, and different prompts, that make a part
/// suspected. The other parts of a guilty prompt are lost with it on fewer
/// engines, and the parts of prompts that ran beside it on one.
constexpr std::size_t min_engines = 3;
constexpr std::size_t min_prompts = 2;

/// Losses that are closer to each other may have a common cause, such as a
/// power failure, and count as one.
constexpr duration min_distance = milliseconds(100);

/// Lost engines, and the time between the first and the last loss, that make a
/// part suspected which was answered not long before. Popular parts run on all
/// engines when many crash by another cause.
constexpr std::size_t min_engines_after_success = 6;
constexpr duration min_span_after_success = seconds(2);

/// Limits of the memory, far above what crashes leave within `loss_lifetime`.
constexpr std::size_t max_parts = 4096;
constexpr std::size_t max_losses_of_part = 32;
constexpr std::size_t max_successes_per_period = 32768;

/// Prompts that are recorded for one lost engine; more add nothing.
constexpr int max_prompts_of_loss = 2;

/// Losses of one part that are reported; more do not change the verdict.
constexpr std::size_t max_reported_losses_of_part = 8;

/// Engines after whose loss one prompt is not sent again, and time for which it
/// is held back.
constexpr std::size_t max_engines_lost_under_prompt = 2;
constexpr duration prompt_hold = seconds(30);

using dated_loss = part_evidence_table::dated_loss;

/// @return the first losses of different engines at different moments
std::vector<dated_loss> separate_losses(std::vector<dated_loss> const &losses)
{
    std::vector<dated_loss> out;
    std::set<std::uint64_t> engines;
    for (auto const &item : losses)
    {
        bool const apart =
            out.empty() || item.second - out.back().second >= min_distance;
        if (apart && engines.insert(item.first.engine).second)
        {
            out.push_back(item);
        }
    }
    return out;
}

std::size_t count_prompts(std::vector<dated_loss> const &losses)
{
    std::set<std::uint64_t> prompts;
    std::ranges::transform(losses, std::inserter(prompts, prompts.end()),
                           [](dated_loss const &item)
                           { return item.first.prompt; });
    return prompts.size();
}

/// @return true when `losses`, by engine and prompt, have the engine
bool has_engine(auto const &losses, std::uint64_t engine)
{
    return std::ranges::any_of(losses, [engine](auto const &item)
                               { return item.first.first == engine; });
}

std::size_t count_engines(std::vector<dated_loss> const &losses)
{
    std::set<std::uint64_t> engines;
    std::ranges::transform(losses, std::inserter(engines, engines.end()),
                           [](dated_loss const &item)
                           { return item.first.engine; });
    return engines.size();
}

} // namespace

/// Parts with more lost engines come first, then those without a success, then
/// those that come later in their prompts, which fewer prompts share.
struct part_evidence_table::verdict_weight
{
    std::size_t engines = 0;
    bool never_answered = false;
    std::uint8_t place = 0;

    auto operator<=>(verdict_weight const &) const = default;
};

bool part_evidence_table::record_loss(engine_loss const &loss, instant at)
{
    if (losses_.size() >= max_parts && !losses_.contains(loss.part))
    {
        return false;
    }
    auto &losses = losses_[loss.part];
    auto const of_engine =
        std::ranges::count_if(losses, [&loss](auto const &item)
                              { return item.first.first == loss.engine; });
    auto const key = std::pair(loss.engine, loss.prompt);
    if (auto const known = losses.find(key); known != losses.end())
    {
        // Reports that arrive late make a loss appear later than it was.
        known->second.at = std::min(known->second.at, at);
        return false;
    }
    if (of_engine >= max_prompts_of_loss)
    {
        return false;
    }
    if (losses.size() >= max_losses_of_part)
    {
        auto const oldest = std::ranges::min_element(
            losses, {}, [](auto const &item) { return item.second.at; });
        if (oldest->second.at >= at)
        {
            return false;
        }
        losses.erase(oldest);
    }
    losses.emplace(key, loss_detail{at, loss.place});
    return true;
}

bool part_evidence_table::record_success(std::uint64_t part, instant at)
{
    bool const disproves = losses_.contains(part) && is_unproven(part, at);
    note_success(part, at);
    return disproves;
}

void part_evidence_table::note_success(std::uint64_t part, instant at)
{
    if (at > successes_since_ + loss_lifetime ||
        recent_successes_.size() >= max_successes_per_period)
    {
        earlier_successes_ = std::exchange(recent_successes_, {});
        successes_since_ = at;
    }
    auto &last =
        recent_successes_.try_emplace(part, instant::min()).first->second;
    last = std::max(last, at);
}

void part_evidence_table::record_peer_success(std::uint64_t part, instant at)
{
    if (losses_.contains(part))
    {
        auto &last =
            peer_successes_.try_emplace(part, instant::min()).first->second;
        last = std::max(last, at);
    }
}

instant part_evidence_table::last_success(std::uint64_t part) const
{
    auto const peer = peer_successes_.find(part);
    return std::max(last_own_success(part), peer == peer_successes_.end()
                                                ? instant::min()
                                                : peer->second);
}

instant part_evidence_table::last_own_success(std::uint64_t part) const
{
    auto const time_in = [part](times_by_part const &times)
    {
        auto const found = times.find(part);
        return found == times.end() ? instant::min() : found->second;
    };
    return std::max(time_in(recent_successes_), time_in(earlier_successes_));
}

std::vector<dated_loss>
part_evidence_table::counting_losses_of(std::uint64_t part, instant now) const
{
    std::vector<dated_loss> out;
    auto const found = losses_.find(part);
    if (found == losses_.end())
    {
        return out;
    }
    auto const since = std::max(last_success(part), now - loss_lifetime);
    for (auto const &[key, loss] : found->second)
    {
        if (loss.at > since)
        {
            out.push_back({{part, key.first, key.second, loss.place}, loss.at});
        }
    }
    std::ranges::sort(out, {},
                      [](dated_loss const &item)
                      { return std::tuple(item.second, item.first); });
    return out;
}

std::optional<instant> part_evidence_table::suspected_until(std::uint64_t part,
                                                            instant now) const
{
    auto losses = counting_losses_of(part, now);
    if (!suspected_until(part, losses, now))
    {
        return std::nullopt;
    }
    remove_explained(losses, weight_of(part, now), now);
    return suspected_until(part, losses, now);
}

part_evidence_table::verdict_weight
part_evidence_table::weight_of(std::uint64_t part, instant now) const
{
    auto const losses = counting_losses_of(part, now);
    verdict_weight out{count_engines(losses),
                       last_success(part) == instant::min(), 0};
    for (auto const &item : losses)
    {
        out.place = std::max(out.place, item.first.place);
    }
    return out;
}

void part_evidence_table::remove_explained(std::vector<dated_loss> &losses,
                                           verdict_weight const &weight,
                                           instant now) const
{
    for (auto const &item : losses_)
    {
        auto const other = counting_losses_of(item.first, now);
        if (other.size() < min_engines ||
            weight_of(item.first, now) <= weight ||
            !suspected_until(item.first, other, now))
        {
            continue;
        }
        std::erase_if(losses, [&item](dated_loss const &loss)
                      { return has_engine(item.second, loss.first.engine); });
    }
}

std::optional<instant>
part_evidence_table::suspected_until(std::uint64_t part,
                                     std::vector<dated_loss> const &losses,
                                     instant now) const
{
    auto const separate = separate_losses(losses);
    bool const was_sound = last_success(part) > now - success_lifetime;
    auto const required = was_sound ? min_engines_after_success : min_engines;
    if (separate.size() < required || count_prompts(losses) < min_prompts)
    {
        return std::nullopt;
    }
    auto const span = separate.back().second - separate.front().second;
    if (was_sound && span < min_span_after_success)
    {
        return std::nullopt;
    }
    // The suspicion ends when too few losses are left.
    return separate[separate.size() - required].second + loss_lifetime;
}

std::vector<std::uint64_t>
part_evidence_table::suspected_parts(instant now) const
{
    std::vector<std::uint64_t> out;
    for (auto const &[part, losses] : losses_)
    {
        if (suspected_until(part, now))
        {
            out.push_back(part);
        }
    }
    std::ranges::sort(out);
    return out;
}

bool part_evidence_table::is_unproven(std::uint64_t part, instant now) const
{
    return !counting_losses_of(part, now).empty();
}

std::optional<instant> part_evidence_table::held_until(std::uint64_t part,
                                                       std::uint64_t prompt,
                                                       instant now) const
{
    auto losses = counting_losses_of(part, now);
    std::erase_if(losses,
                  [prompt, now](dated_loss const &item) {
                      return item.first.prompt != prompt ||
                             item.second <= now - prompt_hold;
                  });
    if (count_engines(losses) < max_engines_lost_under_prompt)
    {
        return std::nullopt;
    }
    remove_explained(losses, {}, now);
    if (count_engines(losses) < max_engines_lost_under_prompt)
    {
        return std::nullopt;
    }
    return losses[losses.size() - max_engines_lost_under_prompt].second +
           prompt_hold;
}

bool part_evidence_table::was_lost_under(std::uint64_t part,
                                         std::uint64_t prompt,
                                         instant now) const
{
    return std::ranges::any_of(counting_losses_of(part, now),
                               [prompt, now](dated_loss const &item) {
                                   return item.first.prompt == prompt &&
                                          item.second > now - prompt_hold;
                               });
}

std::vector<dated_loss>
part_evidence_table::counting_losses(instant now, std::size_t max_losses) const
{
    std::vector<std::pair<verdict_weight, std::vector<dated_loss>>> by_part;
    for (auto const &[part, all] : losses_)
    {
        auto losses = counting_losses_of(part, now);
        if (losses.size() > max_reported_losses_of_part)
        {
            losses.erase(losses.begin(),
                         losses.end() - max_reported_losses_of_part);
        }
        by_part.emplace_back(weight_of(part, now), std::move(losses));
    }
    std::ranges::sort(by_part, std::greater<>());
    std::vector<dated_loss> out;
    for (auto const &[weight, losses] : by_part)
    {
        auto const count = std::min(losses.size(), max_losses - out.size());
        std::copy_n(losses.begin(), count, std::back_inserter(out));
    }
    return out;
}

std::vector<part_evidence_table::dated_part>
part_evidence_table::contrary_successes(std::size_t max_successes) const
{
    std::vector<dated_part> out;
    for (auto const &[part, losses] : losses_)
    {
        auto const at = last_own_success(part);
        if (at != instant::min())
        {
            out.emplace_back(part, at);
        }
    }
    std::ranges::sort(out, std::greater<>(),
                      [](dated_part const &item)
                      { return std::pair(item.second, item.first); });
    out.resize(std::min(out.size(), max_successes));
    return out;
}

void part_evidence_table::expire(instant now)
{
    for (auto &[part, losses] : losses_)
    {
        std::erase_if(losses, [now](auto const &item)
                      { return item.second.at <= now - loss_lifetime; });
    }
    std::erase_if(losses_,
                  [](auto const &item) { return item.second.empty(); });
    std::erase_if(peer_successes_, [now](auto const &item)
                  { return item.second <= now - loss_lifetime; });
}

} // namespace agateledge
