#ifndef AGATELEDGE_CACHE_MESSAGES_HPP
#define AGATELEDGE_CACHE_MESSAGES_HPP

#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

/// Request to an engine for the changes of its prefix cache.
struct cache_read
{
    std::string instance;
    std::string address;
    /// Number of the last change that is already known; 0 to start with the
    /// oldest that the engine keeps.
    std::uint64_t after_change = 0;
    duration timeout{};
};

/// Insertion or eviction of a prompt part in an engine's prefix cache.
struct cache_change
{
    std::string model;
    std::uint64_t part = 0;
    /// Tokens of the part that the cache now contains; 0 when it was evicted.
    int kept_tokens = 0;

    auto operator<=>(cache_change const &) const = default;
};

/// Answer of an engine to a `cache_read`.
struct cache_read_reply
{
    std::string instance;
    /// False when the call failed or its answer could not be decoded.
    bool answered = false;
    /// HTTP status, or 0 without an answer.
    int status = 0;
    /// Incarnation of the cache. The cache is empty at the start of each one.
    std::string epoch;
    /// Number of the change after which the next read continues.
    std::uint64_t last_change = 0;
    /// The engine has discarded older changes that were not yet read.
    bool gap = false;
    /// Oldest first.
    std::vector<cache_change> changes;
};

} // namespace agateledge

#endif
