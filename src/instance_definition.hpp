#ifndef AGATELEDGE_INSTANCE_DEFINITION_HPP
#define AGATELEDGE_INSTANCE_DEFINITION_HPP

#include "engine_role.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Directory entry of a running engine or endpoint.
struct instance_definition
{
    /// May stay the same after a restart; `started_at_ms` tells the
    /// incarnations apart.
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string data_centre;
    /// False when the instance is draining.
    bool accepts_work = true;
    /// Kind of work that a model engine accepts; `mixed` for an endpoint.
    engine_role role = engine_role::mixed;
    /// Start of this incarnation, in Unix milliseconds; 0 when unknown.
    std::int64_t started_at_ms = 0;
    /// The platform may withdraw the instance at short notice.
    bool reclaimable = false;

    auto operator<=>(instance_definition const &) const = default;
};

} // namespace agateledge

#endif
