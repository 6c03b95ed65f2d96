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

/// Which engines hold which prompt prefixes, from late and gappy cache events
/// and from the own calls. Keeps at most `max_prefixes` prefixes and forgets
/// the oldest first.
class prefix_view
{
public:
    static constexpr std::size_t max_prefixes = 65536;
    /// Engines remembered for one prefix.
    static constexpr std::size_t max_holders = 4;

    struct match
    {
        engine_index engine;
        /// Leading blocks that the engine is expected to hold.
        int blocks = 0;
        /// False when an event of the engine was lost since.
        bool certain = true;
    };

    /// Takes note of a cache event; a gap in the sequence makes what is known
    /// of the engine uncertain.
    void record(engine_index engine, cache_event const &event);

    /// Takes note of prefixes that an engine will hold.
    void expect(engine_index engine, std::vector<std::uint64_t> const &hashes);

    /// @return the engines with the longest known prefix of `hashes`
    std::vector<match> longest(std::vector<std::uint64_t> const &hashes) const;

    std::size_t size() const { return holders_.size(); }

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
        std::size_t next = 0;
    };

    struct feed
    {
        std::uint64_t sequence = 0;
        std::uint32_t epoch = 0;
    };

    void store(engine_index engine, std::uint64_t hash);
    void drop(engine_index engine, std::uint64_t hash);
    std::uint32_t epoch_of(engine_index engine) const;

    std::unordered_map<std::uint64_t, prefix> holders_;
    std::deque<std::uint64_t> order_;
    std::unordered_map<engine_index, feed> feeds_;
};

} // namespace agateledge

#endif
