#ifndef AGATELEDGE_SERVICE_DEFINITION_HPP
#define AGATELEDGE_SERVICE_DEFINITION_HPP

#include <compare>
#include <string>

namespace agateledge
{

/// Service that callers address: a model served by engines, or a plain HTTP
/// service.
struct service_definition
{
    std::string name;
    /// True for a plain service reached under /v1/services/<name>/.
    bool plain = false;
    /// Model name in the requests of callers; empty for a plain service.
    std::string model;

    auto operator<=>(service_definition const &) const = default;
};

} // namespace agateledge

#endif
