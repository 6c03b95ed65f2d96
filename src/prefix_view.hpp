#ifndef AGATELEDGE_PREFIX_VIEW_HPP
#define AGATELEDGE_PREFIX_VIEW_HPP

#include "ids.hpp"
#include "inbox.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace agateledge
{

/// Tracks which engines hold which prompt prefixes, from this daemon's own
/// calls and from cache events, which may arrive late or be lost. Keeps at most
/// `max_prefixes` prefixes and evicts the oldest first.
class prefix_view
{
public:
    static constexpr std::size_t max_prefixes = 65536;
    /// Engines stored per prefix.
    static constexpr std::size_t max_holders = 4;

    struct match
    {
        engine_index engine;
        /// Leading blocks that the engine is expected to hold.
        int blocks = 0;
        /// False when an event of the engine was lost since the prefix was
        /// stored.
        bool certain = true;
    };

    /// Applies a cache event. Events that are not newer than the last one of
    /// the engine are ignored; a gap in the sequence makes all earlier entries
    /// of the engine uncertain.
    void apply(engine_index engine, cache_event const &event);

    /// Stores the prefixes that an engine will hold once it has run a prompt.
    void add_expected(engine_index engine,
                      std::vector<std::uint64_t> const &hashes);

    /// @return the engines with the longest known prefix of `hashes`
    std::vector<match> longest(std::vector<std::uint64_t> const &hashes) const;

    std::size_t size() const { return prefixes_.size(); }

private:
    struct holder
    {
        engine_index engine;
        std::uint32_t epoch = 0;
    };

    struct prefix
    {
        std::array<holder, max_holders> holders;
        std::size_t count = 0;
        /// Position at which the next holder is stored.
        std::size_t next = 0;
    };

    /// State of an engine's cache events.
    struct event_stream
    {
        std::uint64_t sequence = 0;
        /// Number of gaps so far; entries of an earlier epoch are uncertain.
        std::uint32_t epoch = 0;
    };

    void store(engine_index engine, std::uint64_t hash);
    void drop(engine_index engine, std::uint64_t hash);
    std::uint32_t epoch_of(engine_index engine) const;

    std::unordered_map<std::uint64_t, prefix> prefixes_;
    /// Hashes of the prefixes, oldest first.
    std::deque<std::uint64_t> order_;
    std::unordered_map<engine_index, event_stream> streams_;
};

} // namespace agateledge

#endif
