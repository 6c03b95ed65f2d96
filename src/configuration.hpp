#ifndef AGATELEDGE_CONFIGURATION_HPP
#define AGATELEDGE_CONFIGURATION_HPP

#include "caller_definition.hpp"
#include "endpoint_definition.hpp"
#include "engine_definition.hpp"
#include "ids.hpp"
#include "policy_settings.hpp"
#include "request_class.hpp"
#include "service_definition.hpp"

#include <string>
#include <vector>

namespace agateledge
{

/// One revision of the operators' configuration. A revision is always put in
/// force as a unit.
struct configuration
{
    revision_number revision;
    /// Operator who made the change, and when (seconds since the Unix epoch).
    std::string author;
    std::int64_t changed_at = 0;
    /// Operator statements that made the change, for the history.
    std::string summary;
    std::vector<service_definition> services;
    std::vector<request_class> classes;
    std::vector<engine_definition> engines;
    std::vector<endpoint_definition> endpoints;
    std::vector<caller_definition> callers;
    policy_settings policy;

    auto operator<=>(configuration const &) const = default;
};

} // namespace agateledge

#endif
