#ifndef AGATELEDGE_PROMPT_CACHE_VIEW_HPP
#define AGATELEDGE_PROMPT_CACHE_VIEW_HPP

#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace agateledge
{

struct cache_change;
struct prompt_shape;

/// Prefix of a prompt that ends with one of its parts.
struct prompt_chain_link
{
    /// Hash of the model and of the last part of the prefix.
    std::uint64_t hash = 0;
    /// Tokens of the prefix.
    int tokens = 0;

    auto operator<=>(prompt_chain_link const &) const = default;
};

using prompt_chain = std::vector<prompt_chain_link>;

/// @return the prefixes of `prompt`, shortest first, that other requests may
///         share: all but the one that ends with the last part
prompt_chain shared_chain_of(prompt_shape const &prompt);

/// Estimated content of an engine's prefix cache, derived from the requests
/// that this daemon sent to the engine and from the changes that the engine
/// reports, which arrive late and may be incomplete.
class prompt_cache_view
{
public:
    /// @param chain shareable prefixes of a prompt
    /// @return tokens of the longest prefix in `chain` that the engine holds,
    ///         or was sent so recently that its prefill is probably under way
    int cached_tokens(prompt_chain const &chain, instant now) const;

    /// @param chain shareable prefixes of a prompt
    /// @return tokens of the longest prefix in `chain` whose prefill is
    ///         complete, so that other engines can copy it
    int copyable_tokens(prompt_chain const &chain) const;

    /// @param link a shareable prefix of a prompt
    /// @return time at which the last part of the prefix was last used at the
    ///         engine; `instant{}` when it is not in the view
    instant last_used_at(prompt_chain_link const &link) const;

    /// Records that a prompt with these prefixes was sent to the engine.
    void record_prompt(prompt_chain const &chain, instant now);

    /// Records that the prefill of these prefixes is complete. Parts that are
    /// not in the view are not added.
    void mark_prefilled(prompt_chain const &chain);

    /// Applies a change that the engine reported.
    void apply_change(cache_change const &change, instant now);

    /// Removes all entries, for example after a restart of the engine.
    void clear() { entries_.clear(); }

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        /// Tokens of this part that the engine keeps.
        int tokens = 0;
        /// The engine has completed the prefill of this part.
        bool prefilled = false;
        instant last_used_at{};
    };

    entry const *find(std::uint64_t hash) const;
    /// Evicts the least recently used entries when there are too many.
    void evict_excess();

    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace agateledge

#endif
