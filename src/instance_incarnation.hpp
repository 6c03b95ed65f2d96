#ifndef AGATELEDGE_INSTANCE_INCARNATION_HPP
#define AGATELEDGE_INSTANCE_INCARNATION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

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

} // namespace agateledge

#endif
