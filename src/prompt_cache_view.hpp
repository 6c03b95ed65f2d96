#ifndef AGATELEDGE_PROMPT_CACHE_VIEW_HPP
#define AGATELEDGE_PROMPT_CACHE_VIEW_HPP

#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

struct prompt_shape;

/// Leading parts of a prompt, as one value.
struct prompt_chain_link
{
    /// Hash of the model and of all parts up to this one.
    std::uint64_t hash = 0;
    /// Tokens of all parts up to this one.
    int tokens = 0;

    auto operator<=>(prompt_chain_link const &) const = default;
};

using prompt_chain = std::vector<prompt_chain_link>;

/// @return the leading parts of `prompt`, shortest first, without the last
///         part, which no other request shares
prompt_chain shared_chain_of(prompt_shape const &prompt);

/// What an engine's prefix cache is believed to hold, from the requests that
/// this daemon sent there. The least recently used entries leave first.
class prompt_cache_view
{
public:
    /// @param chain shared leading parts of a prompt
    /// @return tokens of the longest part of `chain` that is believed cached
    int cached_tokens(prompt_chain const &chain) const;

    /// Notes that the engine has read the chain.
    ///
    /// @param capacity tokens that the cache holds
    void note(prompt_chain const &chain, std::int64_t capacity);

    /// Forgets all, as after a restart of the engine.
    void clear();

private:
    struct entry
    {
        std::uint64_t hash = 0;
        /// Tokens that the entry adds to those of the link before it.
        int own_tokens = 0;
    };

    void evict(std::int64_t capacity);

    /// Most recently used first.
    std::list<entry> entries_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> by_hash_;
    std::int64_t tokens_ = 0;
};

} // namespace agateledge

#endif
