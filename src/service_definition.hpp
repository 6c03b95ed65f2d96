#ifndef AGATELEDGE_SERVICE_DEFINITION_HPP
#define AGATELEDGE_SERVICE_DEFINITION_HPP

#include <compare>
#include <string>

namespace agateledge
{

/// Service that callers address: a model run by engines, or a plain service.
struct service_definition
{
    std::string name;
    /// True for a plain service reached under /v1/services/<name>/.
    bool plain = false;
    /// Model that callers name; empty for a plain service.
    std::string model;

    auto operator<=>(service_definition const &) const = default;
};

} // namespace agateledge

#endif
