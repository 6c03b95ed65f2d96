#ifndef AGATELEDGE_ENGINE_DEFINITION_HPP
#define AGATELEDGE_ENGINE_DEFINITION_HPP

#include "engine_role.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Engine, as configured by the operators.
struct engine_definition
{
    std::string name;
    /// IP address and port, for example "127.0.0.1:9001".
    std::string address;
    std::string data_centre;
    std::string service;
    std::string model;
    std::string model_version;
    /// Initial role; later role changes are recorded as orders.
    engine_role role = engine_role::mixed;
    /// True when the engine rejects orders with an outdated fencing number.
    bool checks_fencing = true;
    /// True when the engine gets no new requests and finishes those it has.
    bool draining = false;
    /// True when operators have taken the engine out of service.
    bool withdrawn = false;
    /// Capacity of the KV cache, in tokens.
    std::int64_t kv_capacity_tokens = 200000;

    auto operator<=>(engine_definition const &) const = default;
};

} // namespace agateledge

#endif
