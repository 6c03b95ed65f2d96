#include "prompt_cache_view.hpp"

#include "cache_messages.hpp"
#include "relay_messages.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace agateledge
{

namespace
{

/// Time in which an engine reads a part that it was sent; later the part counts
/// as held only if the engine is known to have read it.
constexpr duration longest_reading = seconds(3);

/// Parts that are remembered for one engine. An engine with room for a million
/// tokens holds some hundred prompts.
constexpr std::size_t most_entries = 8192;

/// Engines keep whole blocks of tokens, so that the last tokens of a part may
/// be missing.
constexpr int block_tokens = 16;

std::uint64_t hash_of(std::string_view model, std::uint64_t part)
{
    return XXH3_64bits_withSeed(&part, sizeof(part),
                                XXH3_64bits(model.data(), model.size()));
}

/// @return tokens of the longest leading part whose links all satisfy `holds`,
///         which is given the link and the tokens of its last part
template <class Predicate>
int longest_held(prompt_chain const &chain, Predicate holds)
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
    return longest_held(
        chain,
        [this, now](prompt_chain_link const &link, int tokens)
        {
            auto const *held = find(link.hash);
            return held != nullptr && held->tokens + block_tokens >= tokens &&
                   (held->read || now - held->used_at < longest_reading);
        });
}

int prompt_cache_view::copyable_tokens(prompt_chain const &chain) const
{
    return longest_held(chain,
                        [this](prompt_chain_link const &link, int tokens)
                        {
                            auto const *held = find(link.hash);
                            return held != nullptr && held->read &&
                                   held->tokens + block_tokens >= tokens;
                        });
}

instant prompt_cache_view::used_at(prompt_chain_link const &link) const
{
    auto const *held = find(link.hash);
    return held == nullptr ? instant{} : held->used_at;
}

void prompt_cache_view::note(prompt_chain const &chain, instant now)
{
    int before = 0;
    for (auto const &link : chain)
    {
        auto &held = entries_[link.hash];
        held.tokens = std::max(held.tokens, link.tokens - before);
        held.used_at = now;
        before = link.tokens;
    }
    bound_size();
}

void prompt_cache_view::confirm(prompt_chain const &chain)
{
    for (auto const &link : chain)
    {
        auto const found = entries_.find(link.hash);
        if (found != entries_.end())
        {
            found->second.read = true;
        }
    }
}

void prompt_cache_view::record(cache_change const &change, instant now)
{
    auto const hash = hash_of(change.model, change.part);
    if (change.kept_tokens <= 0)
    {
        entries_.erase(hash);
        return;
    }
    entries_[hash] = {change.kept_tokens, true, now};
    bound_size();
}

void prompt_cache_view::bound_size()
{
    if (entries_.size() <= most_entries)
    {
        return;
    }
    auto const oldest = std::ranges::min_element(
        entries_, {}, [](auto const &item) { return item.second.used_at; });
    entries_.erase(oldest);
}

} // namespace agateledge
