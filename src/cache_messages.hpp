#ifndef AGATELEDGE_CACHE_MESSAGES_HPP
#define AGATELEDGE_CACHE_MESSAGES_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Asks an engine for the changes of its prefix cache.
struct cache_read
{
    std::string instance;
    std::string address;
    /// Change after which to go on; 0 for the oldest that the engine keeps.
    std::uint64_t after_change = 0;
    duration timeout{};
};

/// Prompt part that entered or left an engine's prefix cache.
struct cache_change
{
    std::string model;
    std::uint64_t part = 0;
    /// Tokens of the part that the engine keeps; 0 when it has left.
    int kept_tokens = 0;

    auto operator<=>(cache_change const &) const = default;
};

/// Answer of an engine to a read.
struct cache_read_reply
{
    std::string instance;
    /// False when the call failed or its answer could not be read.
    bool answered = false;
    /// Status of the answer; 0 for none.
    int status = 0;
    /// Names the incarnation of the cache; another one starts empty.
    std::string epoch;
    /// Change after which the next read goes on.
    std::uint64_t last_change = 0;
    /// The engine had dropped changes before these.
    bool gap = false;
    /// Oldest first.
    std::vector<cache_change> changes;
};

} // namespace agateledge

#endif
