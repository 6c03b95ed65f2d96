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

/// Leading parts of a prompt, as one value.
struct prompt_chain_link
{
    /// Hash of the model and of the last of these parts.
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
/// this daemon sent there and from the engine's own changes, which come late
/// and with gaps.
class prompt_cache_view
{
public:
    /// @param chain shared leading parts of a prompt
    /// @return tokens of the longest part of `chain` that the engine holds or
    ///         is about to read
    int cached_tokens(prompt_chain const &chain, instant now) const;

    /// @param chain shared leading parts of a prompt
    /// @return tokens of the longest part of `chain` that the engine has read
    ///         whole, so that other engines can copy it
    int copyable_tokens(prompt_chain const &chain) const;

    /// @param link a shared leading part of a prompt
    /// @return time at which the part was last used there; the earliest time
    ///         when it was not
    instant used_at(prompt_chain_link const &link) const;

    /// Notes that the engine is to read the chain.
    void note(prompt_chain const &chain, instant now);

    /// Notes that the engine has read those parts of the chain that it was
    /// noted to read.
    void confirm(prompt_chain const &chain);

    /// Takes a change that the engine reports.
    void record(cache_change const &change, instant now);

    /// Forgets all, as after a restart of the engine.
    void clear() { entries_.clear(); }

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        /// Tokens of this part that the engine keeps.
        int tokens = 0;
        /// The engine has read it.
        bool read = false;
        instant used_at{};
    };

    entry const *find(std::uint64_t hash) const;
    void bound_size();

    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace agateledge

#endif
