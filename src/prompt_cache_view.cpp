#include "prompt_cache_view.hpp"

#include "cache_messages.hpp"
#include "proxy_messages.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string_view>
#include <utility>

namespace agateledge
{

namespace
{

/// Longest prefill of a part that was sent to an engine. After this time the
/// part counts as cached only if its prefill is known to be complete.
constexpr duration max_prefill_time = seconds(3);

/// Largest number of parts in the view of one engine. The cache of an engine
/// with a capacity of a million tokens holds some hundred prompts.
constexpr std::size_t max_entries = 8192;

/// Parts that an eviction leaves. An eviction looks at all parts, so that it
/// has to be rare.
constexpr std::size_t kept_entries = max_entries / 16 * 15;

/// Engines cache only complete blocks of tokens, so that up to one block may be
/// missing at the end of a part.
constexpr int block_tokens = 16;

std::uint64_t hash_of(std::string_view model, std::uint64_t part)
{
    return XXH3_64bits_withSeed(&part, sizeof(part),
                                XXH3_64bits(model.data(), model.size()));
}

/// @return tokens of the longest prefix in `chain` for which `holds` is true of
///         the prefix itself and of all shorter ones; `holds` is called with
///         the link and the tokens of the link's last part
template <class Predicate>
int longest_prefix_tokens(prompt_chain const &chain, Predicate holds)
{
    int before = 0;
    for (auto const &link : chain)
    {
        if (!holds(link, link.tokens - before))
        {
            break;
        }
        before = link.tokens;
    }
    return before;
}

} // namespace

prompt_chain shared_chain_of(prompt_shape const &prompt)
{
    prompt_chain chain;
    if (prompt.parts.size() < 2)
    {
        return chain;
    }
    int tokens = 0;
    std::transform(
        prompt.parts.begin(), std::prev(prompt.parts.end()),
        std::back_inserter(chain),
        [&](prompt_part const &part)
        {
            tokens += part.tokens;
            return prompt_chain_link{hash_of(prompt.model, part.id), tokens};
        });
    return chain;
}

prompt_cache_view::entry const *
prompt_cache_view::find(std::uint64_t hash) const
{
    auto const found = entries_.find(hash);
    return found == entries_.end() ? nullptr : &found->second;
}

int prompt_cache_view::cached_tokens(prompt_chain const &chain,
                                     instant now) const
{
    return longest_prefix_tokens(
        chain,
        [this, now](prompt_chain_link const &link, int tokens)
        {
            auto const *held = find(link.hash);
            return held != nullptr && held->tokens + block_tokens >= tokens &&
                   (held->prefilled ||
                    now - held->last_used_at < max_prefill_time);
        });
}

int prompt_cache_view::copyable_tokens(prompt_chain const &chain) const
{
    return longest_prefix_tokens(
        chain,
        [this](prompt_chain_link const &link, int tokens)
        {
            auto const *held = find(link.hash);
            return held != nullptr && held->prefilled &&
                   held->tokens + block_tokens >= tokens;
        });
}

instant prompt_cache_view::last_used_at(prompt_chain_link const &link) const
{
    auto const *held = find(link.hash);
    return held == nullptr ? instant{} : held->last_used_at;
}

void prompt_cache_view::record_prompt(prompt_chain const &chain, instant now)
{
    int before = 0;
    for (auto const &link : chain)
    {
        auto &held = entries_[link.hash];
        held.tokens = std::max(held.tokens, link.tokens - before);
        held.last_used_at = now;
        before = link.tokens;
    }
    evict_excess();
}

void prompt_cache_view::mark_prefilled(prompt_chain const &chain)
{
    for (auto const &link : chain)
    {
        auto const found = entries_.find(link.hash);
        if (found != entries_.end())
        {
            found->second.prefilled = true;
        }
    }
}

void prompt_cache_view::apply_change(cache_change const &change, instant now)
{
    auto const hash = hash_of(change.model, change.part);
    if (change.kept_tokens <= 0)
    {
        entries_.erase(hash);
        return;
    }
    entries_[hash] = {change.kept_tokens, true, now};
    evict_excess();
}

void prompt_cache_view::evict_excess()
{
    if (entries_.size() <= max_entries)
    {
        return;
    }
    using use = std::pair<instant, std::uint64_t>;
    std::vector<use> uses;
    uses.reserve(entries_.size());
    std::ranges::transform(entries_, std::back_inserter(uses),
                           [](auto const &item) {
                               return use(item.second.last_used_at, item.first);
                           });
    auto const excess =
        static_cast<std::ptrdiff_t>(entries_.size() - kept_entries);
    std::ranges::nth_element(uses, uses.begin() + excess);
    std::for_each(uses.begin(), uses.begin() + excess,
                  [this](use const &item) { entries_.erase(item.second); });
}

} // namespace agateledge
