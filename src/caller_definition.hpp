#ifndef AGATELEDGE_CALLER_DEFINITION_HPP
#define AGATELEDGE_CALLER_DEFINITION_HPP

#include <compare>
#include <string>

namespace agateledge
{

/// Caller with its credential and its rate limit.
struct caller_definition
{
    std::string name;
    /// Account that the caller's usage is charged to.
    std::string account;
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    std::string token_sha256;
    /// Rate limit in requests a second over all daemons; 0 for no limit.
    double requests_per_second = 0;
    /// Requests that may arrive at once in excess of the rate.
    double burst = 0;

    auto operator<=>(caller_definition const &) const = default;
};

} // namespace agateledge

#endif
