#ifndef AGATELEDGE_INSTANCE_DEFINITION_HPP
#define AGATELEDGE_INSTANCE_DEFINITION_HPP

#include "engine_role.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Entry of the directory: one running engine or endpoint.
struct instance_definition
{
    /// Name that a restart may keep; see `started_at_ms`.
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string data_centre;
    /// False once the instance has announced that it leaves.
    bool accepts_work = true;
    /// Work that a model engine takes; `mixed` for an endpoint.
    engine_role role = engine_role::mixed;
    /// Start of this incarnation, in Unix milliseconds; 0 when not told.
    std::int64_t started_at_ms = 0;

    auto operator<=>(instance_definition const &) const = default;
};

} // namespace agateledge

#endif
