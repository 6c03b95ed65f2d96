#include "prompt_cache_view.hpp"

#include "relay_messages.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace agateledge
{

prompt_chain shared_chain_of(prompt_shape const &prompt)
{
    prompt_chain chain;
    if (prompt.parts.size() < 2)
    {
        return chain;
    }
    auto hash = XXH3_64bits(prompt.model.data(), prompt.model.size());
    int tokens = 0;
    std::transform(prompt.parts.begin(), std::prev(prompt.parts.end()),
                   std::back_inserter(chain),
                   [&](prompt_part const &part)
                   {
                       hash = XXH3_64bits_withSeed(&part.id, sizeof(part.id),
                                                   hash);
                       tokens += part.tokens;
                       return prompt_chain_link{hash, tokens};
                   });
    return chain;
}

int prompt_cache_view::cached_tokens(prompt_chain const &chain) const
{
    auto const missing =
        std::ranges::find_if(chain, [this](prompt_chain_link const &link)
                             { return !by_hash_.contains(link.hash); });
    return missing == chain.begin() ? 0 : std::prev(missing)->tokens;
}

void prompt_cache_view::note(prompt_chain const &chain, std::int64_t capacity)
{
    int before = 0;
    for (auto const &link : chain)
    {
        auto const found = by_hash_.find(link.hash);
        if (found != by_hash_.end())
        {
            entries_.splice(entries_.begin(), entries_, found->second);
        }
        else
        {
            entries_.push_front({link.hash, link.tokens - before});
            by_hash_.emplace(link.hash, entries_.begin());
            tokens_ += link.tokens - before;
        }
        before = link.tokens;
    }
    evict(capacity);
}

void prompt_cache_view::evict(std::int64_t capacity)
{
    while (tokens_ > capacity && !entries_.empty())
    {
        tokens_ -= entries_.back().own_tokens;
        by_hash_.erase(entries_.back().hash);
        entries_.pop_back();
    }
}

void prompt_cache_view::clear()
{
    entries_.clear();
    by_hash_.clear();
    tokens_ = 0;
}

} // namespace agateledge
