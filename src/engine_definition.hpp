#ifndef AGATELEDGE_ENGINE_DEFINITION_HPP
#define AGATELEDGE_ENGINE_DEFINITION_HPP

#include "engine_role.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Engine as the operators configured it.
struct engine_definition
{
    std::string name;
    /// IP address and port, for example "127.0.0.1:9001".
    std::string address;
    std::string data_centre;
    std::string service;
    std::string model;
    std::string model_version;
    /// Role at the first start; role changes are recorded as orders.
    engine_role role = engine_role::mixed;
    /// True when the engine refuses an order with an old fencing number.
    bool checks_fencing = true;
    bool draining = false;
    bool withdrawn = false;
    /// Room for KV cache, in tokens.
    std::int64_t kv_capacity_tokens = 200000;

    auto operator<=>(engine_definition const &) const = default;
};

} // namespace agateledge

#endif
