#ifndef AGATELEDGE_INSTANCE_INCARNATION_HPP
#define AGATELEDGE_INSTANCE_INCARNATION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

struct instance_definition;

/// One start of an instance, as its directory entry describes it.
struct instance_incarnation
{
    std::string id;
    /// IP address and port.
    std::string address;
    /// Start of the incarnation, in Unix milliseconds; 0 when unknown.
    std::int64_t started_at_ms = 0;

    auto operator<=>(instance_incarnation const &) const = default;
};

/// @return the incarnation that a directory entry describes
instance_incarnation incarnation_of(instance_definition const &instance);

/// @return true when the entry has the incarnation's id and describes the same
///         start. Without a known start on both sides, incarnations are the
///         same if their addresses are.
bool is_same_incarnation(instance_incarnation const &incarnation,
                         instance_definition const &instance);

} // namespace agateledge

#endif
