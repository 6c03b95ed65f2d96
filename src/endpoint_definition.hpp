#ifndef AGATELEDGE_ENDPOINT_DEFINITION_HPP
#define AGATELEDGE_ENDPOINT_DEFINITION_HPP

#include <compare>
#include <string>

namespace agateledge
{

/// Endpoint of a plain service, as configured by the operators.
struct endpoint_definition
{
    std::string name;
    /// IP address and port.
    std::string address;
    std::string data_centre;
    std::string service;
    bool draining = false;

    auto operator<=>(endpoint_definition const &) const = default;
};

} // namespace agateledge

#endif
